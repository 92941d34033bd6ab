/*
 * Reads the body of a response in JSON.
 */
import { readBody } from "./readBody";

/** The maximum size of a body, in bytes, by default: a server in trouble may send bytes without end. */
const defaultMaximumBytes = 1_048_576;

/**
 * Reads a body and parses it.
 * @param body - The body's parts.
 * @param maximumBytes - The maximum size of the body, in bytes.
 * @throws An error where the body is larger, is no JSON, or its connection fails.
 */
export async function readJsonBody(
    body: AsyncIterable<Uint8Array>,
    maximumBytes = defaultMaximumBytes,
): Promise<unknown> {
    return JSON.parse((await readBody(body, maximumBytes)).toString());
}
