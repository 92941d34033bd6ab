/*
 * Reads request bodies up to a maximum length, into the memory that all requests of the entry process share.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { assertNever } from "../errors";
import { RefusalReason } from "../protocol";
import { BodyLimits, readRequestBody } from "../requestMemory";
import { createRefusal } from "./createRefusal";
import { ReadBodyOutcome } from "./ReadBodyOutcome";
import { Refusal } from "./Refusal";

const retryAfterMilliseconds = 1_000;

/**
 * Reads the whole body of a request.
 * @param request - The request.
 * @param response - The response, with whose end the memory of the body is freed.
 * @param maximumBytes - The maximum length of the body.
 * @param limits - What limits the reading of all bodies.
 */
export async function readBody(
    request: IncomingMessage,
    response: ServerResponse,
    maximumBytes: number,
    limits: BodyLimits,
): Promise<ReadBodyOutcome> {
    if (Number(request.headers["content-length"] ?? 0) > maximumBytes) {
        return { kind: "refused", refusal: createTooLargeRefusal(maximumBytes) };
    }
    const closed = new AbortController();
    response.on("close", () => closed.abort());
    if (response.destroyed) {
        closed.abort();
    }
    const outcome = await readRequestBody({
        request,
        getMaximumBytes: () => maximumBytes,
        ...limits,
        signal: closed.signal,
        // The connection is closed some time after the refusal.
        endConnection: () => undefined,
    });
    switch (outcome.kind) {
        case "read": {
            const { buffer, byteOffset, byteLength } = outcome.body;
            return { kind: "read", body: Buffer.from(buffer, byteOffset, byteLength) };
        }
        case "tooLarge":
            return { kind: "refused", refusal: createTooLargeRefusal(maximumBytes) };
        case "aborted":
            return refuse(RefusalReason.LENGTH_MISMATCH, "The body ended before its announced length.", 0);
        case "overloaded":
            return refuse(RefusalReason.OVERLOADED, "This entry has no memory for the body.", retryAfterMilliseconds);
        case "timedOut":
            return refuse(RefusalReason.REQUEST_TIMEOUT, "The body took too long.", retryAfterMilliseconds);
        default:
            return assertNever(outcome);
    }
}

function refuse(reason: RefusalReason, message: string, retryMilliseconds: number): ReadBodyOutcome {
    return { kind: "refused", refusal: createRefusal(reason, message, retryMilliseconds) };
}

/** Creates the refusal of a body over the limit. */
function createTooLargeRefusal(maximumBytes: number): Refusal {
    return createRefusal(RefusalReason.BODY_TOO_LARGE, `The body is longer than ${maximumBytes} bytes.`);
}
