/*
 * Reads a response body to its end, up to a bound: a backend server in trouble may send bytes without end.
 */
import { AttemptResult } from "./AttemptResult";

/** The maximum size of a body that is buffered as a whole. */
const maximumBodyBytes = 4_194_304;

/**
 * Collects the bytes of a response's body.
 * @param response - The response.
 * @returns The body; undefined where it is incomplete or too large.
 */
export async function collectBody(
    response: Extract<AttemptResult, { kind: "answered"; }>,
): Promise<Uint8Array | undefined> {
    const parts: Uint8Array[] = [];
    let length = 0;
    for await (const part of response.body) {
        parts.push(part);
        length += part.length;
        if (length > maximumBodyBytes) {
            response.cancel();
            return undefined;
        }
    }
    if (!response.isComplete()) {
        return undefined;
    }
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}
