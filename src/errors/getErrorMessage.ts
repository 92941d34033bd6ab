/*
 * Converts thrown values to text.
 */

/**
 * Gets the message of a thrown value, with the message of its direct cause unless the message contains it already.
 * @param thrown - The value that a catch clause received.
 */
export function getErrorMessage(thrown: unknown): string {
    if (!(thrown instanceof Error)) {
        return String(thrown);
    }
    const cause = thrown.cause;
    if (cause instanceof Error && !thrown.message.includes(cause.message)) {
        return `${thrown.message}: ${cause.message}`;
    }
    return thrown.message;
}
