/*
 * Sends refusals as HTTP responses.
 */
import { ServerResponse } from "node:http";
import { getRefusalBody } from "./getRefusalBody";
import { getRefusalStatus } from "./getRefusalStatus";
import { getRunStateName } from "./getRunStateName";
import { Refusal } from "./Refusal";

const millisecondsPerSecond = 1_000;

/**
 * Sends a refusal as the response to a request.
 * @param response - The response, of which nothing has been sent.
 * @param refusal - The refusal.
 * @param requestId - The id that identifies the request in the logs.
 */
export function sendRefusal(response: ServerResponse, refusal: Refusal, requestId: string): void {
    response.statusCode = getRefusalStatus(refusal.reason);
    response.setHeader("content-type", "application/json");
    response.setHeader("basilwing-run", getRunStateName(refusal.runState));
    response.setHeader("x-request-id", requestId);
    if (refusal.retryAfterMilliseconds > 0) {
        response.setHeader("retry-after", Math.ceil(refusal.retryAfterMilliseconds / millisecondsPerSecond));
    }
    response.end(JSON.stringify(getRefusalBody(refusal, requestId)));
}
