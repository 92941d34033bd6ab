/*
 * Sends the response to a completion request in the format that client libraries expect, and records its metrics.
 */
import { ServerResponse } from "node:http";
import { assertNever } from "../errors";
import { CounterName, HistogramName } from "../metrics";
import { End } from "../protocol";
import { CompletionRequest } from "./CompletionRequest";
import { createCompletionWriter } from "./createCompletionWriter";
import { EntryOptions } from "./EntryOptions";
import { Refusal } from "./Refusal";
import { ResponseEvent } from "./ResponseEvent";

/**
 * Sends the response to a completion request.
 * @param options - The entry's options.
 * @param response - The HTTP response, of which nothing has been sent.
 * @param requestId - The request's id.
 * @param request - The checked completion request.
 * @param events - The events of the response.
 * @returns The refusal that ended the response; undefined where the response was complete.
 */
export async function sendCompletion(
    options: EntryOptions,
    response: ServerResponse,
    requestId: string,
    request: CompletionRequest,
    events: AsyncIterable<ResponseEvent>,
): Promise<Refusal | undefined> {
    const { clock, metrics } = options;
    const writer = createCompletionWriter(options, response, requestId, request);
    const startMilliseconds = clock.getMonotonicMilliseconds();
    let lastTokenMilliseconds: number | undefined;
    for await (const event of events) {
        switch (event.kind) {
            case "started":
                break;
            case "text":
                recordToken();
                await writer.writeText(event.text);
                break;
            case "end":
                countUsage(event.end);
                await writer.end(event.end);
                return undefined;
            case "refused":
                writer.refuse(event.refusal);
                return event.refusal;
            case "head":
            case "body":
                break;
            default:
                assertNever(event);
        }
    }
    return undefined;

    /** Records the time to the first token, or the time since the last one. */
    function recordToken(): void {
        const now = clock.getMonotonicMilliseconds();
        if (lastTokenMilliseconds === undefined) {
            metrics.recordMilliseconds(HistogramName.TimeToFirstToken, now - startMilliseconds);
        }
        else {
            metrics.recordMilliseconds(HistogramName.TimeBetweenTokens, now - lastTokenMilliseconds);
        }
        lastTokenMilliseconds = now;
    }

    /** Counts the tokens of the request, and records its duration. */
    function countUsage(end: End): void {
        metrics.addCount(CounterName.PromptTokens, end.promptTokens);
        metrics.addCount(CounterName.CachedPromptTokens, end.cachedPromptTokens);
        metrics.addCount(CounterName.CompletionTokens, end.completionTokens);
        metrics.recordMilliseconds(HistogramName.RequestTime, clock.getMonotonicMilliseconds() - startMilliseconds);
    }
}
