/*
 * Reads the server-sent events of a streamed completion, as a caller's client library does.
 */
import { readLines } from "../../backends";
import { CompletionStreamEvent } from "./CompletionStreamEvent";

const dataPrefix = "data: ";
const endMarker = "[DONE]";

interface CompletionChunk {
    choices?: readonly { delta?: { content?: string; }; text?: string; }[];
    usage?: {
        prompt_tokens: number;
        completion_tokens: number;
        prompt_tokens_details?: { cached_tokens?: number; };
    };
    error?: { code?: string; };
    run?: string;
}

/**
 * Reads the events of a streamed completion; a stream that breaks off before its end marker yields no `end` event.
 * @param body - The bytes of the response's body.
 */
export async function* readCompletionStream(
    body: AsyncIterable<Uint8Array>,
): AsyncGenerator<CompletionStreamEvent> {
    for await (const line of readLines(body)) {
        if (!line.startsWith(dataPrefix)) {
            continue;
        }
        const data = line.slice(dataPrefix.length);
        if (data === endMarker) {
            yield { kind: "end" };
            return;
        }
        yield* getChunkEvents(JSON.parse(data) as CompletionChunk);
    }
}

function* getChunkEvents(chunk: CompletionChunk): Generator<CompletionStreamEvent> {
    if (chunk.error !== undefined) {
        yield { kind: "refused", code: chunk.error.code ?? "", runState: chunk.run ?? "" };
        return;
    }
    const choice = chunk.choices?.[0];
    const text = choice?.delta?.content ?? choice?.text ?? "";
    if (text !== "") {
        yield { kind: "text", text };
    }
    if (chunk.usage !== undefined) {
        yield {
            kind: "usage",
            promptTokens: chunk.usage.prompt_tokens,
            cachedTokens: chunk.usage.prompt_tokens_details?.cached_tokens ?? 0,
            completionTokens: chunk.usage.completion_tokens,
        };
    }
}
