/*
 * Reads the body of a response whose status is all that counts.
 */

/** The size from which the rest of a body is not read; its connection is closed. */
const maximumBytes = 131_072;

/**
 * Reads a body to its end or its maximum size.
 * @param body - The body's parts.
 * @throws An error where the body is incomplete, so that the response may be one that was cut off.
 */
export async function readUnusedBody(body: AsyncIterable<Uint8Array>): Promise<void> {
    let length = 0;
    for await (const part of body) {
        length += part.length;
        if (length > maximumBytes) {
            return;
        }
    }
}
