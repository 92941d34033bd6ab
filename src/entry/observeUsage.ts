/*
 * Tells how many tokens a whole answer took, as it passes by.
 */
import { ResponseEvent } from "./ResponseEvent";

/**
 * Passes an answer's events on.
 * @param events - The events.
 * @param onUsage - Told of the tokens of prompt and answer at the end.
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
