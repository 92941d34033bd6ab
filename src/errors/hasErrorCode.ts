/*
 * Recognises errors of the operating system by their codes.
 */

/**
 * Determines whether a thrown value is an error with one of the codes.
 * @param thrown - The value that a catch clause received.
 * @param codes - Codes such as `ENOENT`.
 */
export function hasErrorCode(thrown: unknown, ...codes: readonly string[]): boolean {
    const code = (thrown as { code?: unknown; } | undefined)?.code;
    return typeof code === "string" && codes.includes(code);
}
