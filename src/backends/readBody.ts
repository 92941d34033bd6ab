/*
 * Reads the body of a response as a whole, up to a bound.
 */
import { createByteCollector } from "../runtime";

/**
 * Reads a body to its end.
 * @param body - The body's parts.
 * @param maximumBytes - The maximum size of the body, in bytes.
 * @throws An error where the body is larger or its connection fails.
 */
export async function readBody(body: AsyncIterable<Uint8Array>, maximumBytes: number): Promise<Buffer> {
    const collector = createByteCollector();
    for await (const part of body) {
        collector.add(part);
        if (collector.getLength() > maximumBytes) {
            throw new Error(`the body is larger than ${maximumBytes} bytes`);
        }
    }
    return Buffer.concat(collector.takeParts());
}
