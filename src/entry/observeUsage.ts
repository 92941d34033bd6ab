/*
 * Reports the token usage of a response while its events are passed on.
 */
import { ResponseEvent } from "./ResponseEvent";

/**
 * Passes on the events of a response, and reports the token usage before the last one.
 * @param events - The events of the response.
 * @param onUsage - Called with the number of tokens of prompt and completion, where the response is complete.
 */
export async function* observeUsage(
    events: AsyncIterable<ResponseEvent>,
    onUsage: (tokens: number) => void,
): AsyncGenerator<ResponseEvent> {
    for await (const event of events) {
        if (event.kind === "end") {
            onUsage(event.end.promptTokens + event.end.completionTokens);
        }
        yield event;
    }
}
