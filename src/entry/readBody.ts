/*
 * Reads request bodies up to a maximum length.
 */
import { IncomingMessage } from "node:http";
import { RefusalReason } from "../protocol";
import { createRefusal } from "./createRefusal";
import { ReadBodyOutcome } from "./ReadBodyOutcome";

/**
 * Reads the whole body of a request.
 * @param request - The request.
 * @param maximumBytes - The maximum length of the body.
 */
export async function readBody(request: IncomingMessage, maximumBytes: number): Promise<ReadBodyOutcome> {
    const declaredBytes = Number(request.headers["content-length"] ?? 0);
    if (declaredBytes > maximumBytes) {
        return createTooLargeOutcome(maximumBytes);
    }
    const parts: Buffer[] = [];
    let length = 0;
    try {
        for await (const part of request.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
            length += part.length;
            if (length > maximumBytes) {
                return createTooLargeOutcome(maximumBytes);
            }
            parts.push(part);
        }
    }
    catch {
        const refusal = createRefusal(RefusalReason.LENGTH_MISMATCH, "The body ended before its announced length.");
        return { kind: "refused", refusal };
    }
    return { kind: "read", body: Buffer.concat(parts, length) };
}

/** Gets the outcome for a body over the limit. */
function createTooLargeOutcome(maximumBytes: number): ReadBodyOutcome {
    const message = `The body is longer than ${maximumBytes} bytes.`;
    return { kind: "refused", refusal: createRefusal(RefusalReason.BODY_TOO_LARGE, message) };
}
