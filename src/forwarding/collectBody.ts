/*
 * Reads a response body to its end.
 */

/**
 * Collects the bytes of a body.
 * @param body - The body as it arrives.
 */
export async function collectBody(body: AsyncIterable<Uint8Array>): Promise<Uint8Array> {
    const parts: Uint8Array[] = [];
    for await (const part of body) {
        parts.push(part);
    }
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}
