/*
 * Refuses requests at the entry. What is said of whether such a request ran is decided here for all of them.
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

/** Creates the refuser of an entry. */
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

    /** Reads on for a while, so that the caller gets to read the refusal, and then ends the connection. */
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
