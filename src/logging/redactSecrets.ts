/*
 * Removes secrets from a log line. This is the last of several safeguards, since code should never pass secrets to the
 * logger in the first place.
 */

const replacement = "(hidden)";
const secretFieldNames = [
    "authorization",
    "body",
    "cookie",
    "heldText",
    "idempotencyKey",
    "key",
    "messages",
    "password",
    "privateKey",
    "prompt",
    "secret",
    "text",
    "token",
];
const secretFieldPattern = new RegExp(
    `("(?:${secretFieldNames.join("|")})":)("(?:[^"\\\\]|\\\\.)*"|\\[[^\\]]*\\]|\\{[^{}]*\\}|[^,}\\]]+)`,
    "gi",
);
const bearerPattern = /\b(bearer|basic)\s+[A-Za-z0-9._~+/=-]+/gi;
const privateKeyPattern = /-----BEGIN [A-Z ]*PRIVATE KEY-----(?:(?!-----END).)*(?:-----END [A-Z ]*PRIVATE KEY-----)?/gs;

/**
 * Replaces the values of secret fields, authorization credentials and private keys in a line.
 * @param line - A line of JSON.
 */
export function redactSecrets(line: string): string {
    return line
        .replace(privateKeyPattern, replacement)
        .replace(bearerPattern, `$1 ${replacement}`)
        .replace(secretFieldPattern, `$1"${replacement}"`);
}
