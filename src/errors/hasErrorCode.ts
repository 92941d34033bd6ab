/*
 * Recognises the errors of the operating system.
 */

/**
 * Tells whether something thrown is a system error with one of the codes.
 * @param thrown - What a catch clause received.
 * @param codes - Codes such as `ENOENT`.
 */
export function hasErrorCode(thrown: unknown, ...codes: readonly string[]): boolean {
    const code = (thrown as { code?: unknown; } | undefined)?.code;
    return typeof code === "string" && codes.includes(code);
}
