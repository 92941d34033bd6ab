/*
 * Reads a response body to its end, up to a bound: a backend server in trouble may send bytes without end.
 */
import { createByteCollector } from "../runtime";
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
    const collector = createByteCollector();
    for await (const part of response.body) {
        collector.add(part);
        response.hold(part.length);
        if (collector.getLength() > maximumBodyBytes) {
            response.cancel();
            return undefined;
        }
    }
    if (!response.isComplete()) {
        return undefined;
    }
    const parts = collector.takeParts();
    return parts.length === 1 ? parts[0]! : Buffer.concat(parts);
}
