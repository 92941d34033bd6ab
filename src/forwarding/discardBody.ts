/*
 * Reads a response body that is not needed, so that its connection can be used again.
 */
import { Clock, waitWithTimeout } from "../runtime";
import { AttemptResult } from "./AttemptResult";

/** The size up to which a body is read; the connection of a larger one is closed. */
const maximumDiscardedBytes = 65_536;
/** How long a body may take, in milliseconds, before its connection is closed. */
const discardTimeoutMilliseconds = 1_000;

/**
 * Discards the body of a response; ends once the connection is free or closed.
 * @param response - The response.
 * @param clock - The clock.
 */
export async function discardBody(
    response: Extract<AttemptResult, { kind: "answered"; }>,
    clock: Clock,
): Promise<void> {
    try {
        await waitWithTimeout(clock, readToEnd(response), discardTimeoutMilliseconds);
    }
    finally {
        response.cancel();
    }
}

async function readToEnd({ body }: Extract<AttemptResult, { kind: "answered"; }>): Promise<true> {
    let length = 0;
    for await (const part of body) {
        length += part.length;
        if (length > maximumDiscardedBytes) {
            break;
        }
    }
    return true;
}
