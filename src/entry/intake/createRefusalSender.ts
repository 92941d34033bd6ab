/*
 * Refuses requests in the entry process, and decides for all of them which run state the caller receives.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { Metrics } from "../../metrics";
import { getRunState } from "../../outcome";
import { Clock } from "../../runtime";
import { RefusalDetails } from "../RefusalDetails";
import { sendRefusal } from "../sendRefusal";
import { InvalidInputLimiter } from "./InvalidInputLimiter";
import { isInvalidInput } from "./isInvalidInput";
import { mayBeResend } from "./mayBeResend";
import { RefusalSender } from "./RefusalSender";

const lingeringCloseMilliseconds = 2_000;

/**
 * Creates the refusal sender of an entry.
 * @param clock - The source of time.
 * @param metrics - The metrics that refusals are counted in.
 * @param inputLimiter - Counts the refusals of invalid requests.
 */
export function createRefusalSender(clock: Clock, metrics: Metrics, inputLimiter: InvalidInputLimiter): RefusalSender {
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
        await clock.sleep(lingeringCloseMilliseconds);
        if (!request.complete) {
            request.destroy();
        }
    }
}
