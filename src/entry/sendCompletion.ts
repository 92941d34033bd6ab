/*
 * Answers a completion request, streamed or whole, in the shape that callers' libraries expect.
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
 * Sends a completion's answer.
 * @returns The refusal that ended it; undefined where the answer was whole.
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

    /** Records the time to the first token, and between tokens. */
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

    /** Counts the tokens that the answer used. */
    function countUsage(end: End): void {
        metrics.addCount(CounterName.PromptTokens, end.promptTokens);
        metrics.addCount(CounterName.CachedPromptTokens, end.cachedPromptTokens);
        metrics.addCount(CounterName.CompletionTokens, end.completionTokens);
        metrics.recordMilliseconds(HistogramName.RequestTime, clock.getMonotonicMilliseconds() - startMilliseconds);
    }
}
