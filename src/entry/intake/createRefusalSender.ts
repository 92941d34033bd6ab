/*
 * Refuses requests in the entry process, and decides for all of them which run state the caller receives.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { Metrics } from "../../metrics";
import { getRunState } from "../../outcome";
import { RefusalReason } from "../../protocol";
import { ConnectionTurns } from "../../requestMemory";
import { Clock, endAfterSending } from "../../runtime";
import { RefusalDetails } from "../RefusalDetails";
import { sendRefusal } from "../sendRefusal";
import { InvalidInputLimiter } from "./InvalidInputLimiter";
import { isInvalidInput } from "./isInvalidInput";
import { mayBeResend } from "./mayBeResend";
import { RefusalSender } from "./RefusalSender";

const lingeringCloseMilliseconds = 2_000;
/** How much of the rest is discarded, in bytes; more is not read. */
const maximumDiscardedBytes = 4_194_304;
/** Refusals for which the rest of a body is not awaited, so that its connection does not outlast the memory for it. */
const closingReasons: ReadonlySet<RefusalReason> = new Set([
    RefusalReason.OVERLOADED,
    RefusalReason.REQUEST_TIMEOUT,
]);

/**
 * Creates the refusal sender of an entry.
 * @param clock - The source of time.
 * @param metrics - The metrics that refusals are counted in.
 * @param inputLimiter - Counts the refusals of invalid requests.
 * @param turns - The turns in which callers' connections are read.
 */
export function createRefusalSender(
    clock: Clock,
    metrics: Metrics,
    inputLimiter: InvalidInputLimiter,
    turns: ConnectionTurns,
): RefusalSender {
    return { send };

    function send(
        request: IncomingMessage,
        response: ServerResponse,
        requestId: string,
        details: RefusalDetails,
        workspace?: string,
    ): void {
        metrics.countRefusal(details.reason);
        if (isInvalidInput(details.reason)) {
            inputLimiter.recordInvalidRequest(request.socket, workspace);
        }
        if (response.headersSent || response.destroyed) {
            return;
        }
        if (inputLimiter.isConnectionLimitReached(request.socket)) {
            response.setHeader("connection", "close");
        }
        if (!request.complete && closingReasons.has(details.reason)) {
            const { socket } = request;
            response.setHeader("connection", "close");
            socket.destroySoon = () => endAfterSending(socket, clock, true);
        }
        const runState = getRunState({ kind: "refusedAtEntry", mayHaveRunBefore: mayBeResend(request) });
        sendRefusal(response, { ...details, runState }, requestId);
        void discardRemainingBody(request);
    }

    /** Discards the rest of the body for a limited time, so that the caller can read the refusal, then disconnects. */
    async function discardRemainingBody(request: IncomingMessage): Promise<void> {
        if (request.complete) {
            return;
        }
        request.resume();
        request.on("error", () => {});
        let discardedBytes = 0;
        const recordChunk = turns.observeBody(request, () => request.destroy());
        request.on("data", (chunk: Buffer) => {
            recordChunk(chunk.length);
            discardedBytes += chunk.length;
            if (discardedBytes > maximumDiscardedBytes) {
                request.pause();
            }
        });
        await clock.sleep(lingeringCloseMilliseconds);
        if (!request.complete) {
            request.destroy();
        }
    }
}
