/*
 * Takes secrets out of a log line, whatever put them there: the last of several guards, since code that logs should
 * name no secret at all.
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
 * Hides what secret fields, authorization values and private keys in a line hold.
 * @param line - A line of JSON.
 */
export function redactSecrets(line: string): string {
    return line
        .replace(privateKeyPattern, replacement)
        .replace(bearerPattern, `$1 ${replacement}`)
        .replace(secretFieldPattern, `$1"${replacement}"`);
}
