/*
 * Reads the bodies of HTTP requests.
 */
import { IncomingMessage } from "node:http";

/**
 * Reads a request's whole body.
 * @param request - The request.
 */
export async function readBody(request: IncomingMessage): Promise<Buffer> {
    const chunks: Buffer[] = [];
    for await (const chunk of request) {
        chunks.push(chunk as Buffer);
    }
    return Buffer.concat(chunks);
}
