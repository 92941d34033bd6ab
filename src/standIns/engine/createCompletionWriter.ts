/*
 * Writes a completion response in the OpenAI-compatible format, as an event stream or as one JSON document.
 */
import { ServerResponse } from "node:http";
import { sendJson } from "../sendJson";
import { CompletionUsage } from "./CompletionUsage";
import { CompletionWriter } from "./CompletionWriter";
import { CompletionWriterOptions } from "./CompletionWriterOptions";

/**
 * Creates the writer of one response.
 * @param response - The HTTP response to write to.
 * @param options - The ids, format and headers of the response.
 */
export function createCompletionWriter(response: ServerResponse, options: CompletionWriterOptions): CompletionWriter {
    const { requestId, model, isChat, isStreamed } = options;
    const texts: string[] = [];
    return { start, writeToken, end, truncate: () => response.end() };

    function start(): void {
        for (const [name, value] of Object.entries(options.headers)) {
            response.setHeader(name, value);
        }
        if (isStreamed) {
            response.writeHead(200, { "content-type": "text/event-stream", "cache-control": "no-cache" });
            response.flushHeaders();
        }
    }

    function writeToken(text: string): void {
        if (isStreamed) {
            writeChunk({ choices: [getStreamedChoice(text, undefined)] });
            return;
        }
        texts.push(text);
    }

    function end(usage: CompletionUsage, finishReason: string): void {
        if (isStreamed) {
            writeChunk({ choices: [getStreamedChoice("", finishReason)], usage: getUsage(usage) });
            response.end("data: [DONE]\n\n");
            return;
        }
        const text = texts.join("");
        const content = isChat ? { message: { role: "assistant", content: text } } : { text };
        sendJson(response, 200, {
            id: requestId,
            object: isChat ? "chat.completion" : "text_completion",
            model,
            choices: [{ index: 0, ...content, finish_reason: finishReason }],
            usage: getUsage(usage),
        });
    }

    function writeChunk(fields: Record<string, unknown>): void {
        const object = isChat ? "chat.completion.chunk" : "text_completion";
        response.write(`data: ${JSON.stringify({ id: requestId, object, model, ...fields })}\n\n`);
    }

    function getStreamedChoice(text: string, finishReason: string | undefined): Record<string, unknown> {
        const part = isChat ? { delta: text === "" ? {} : { content: text } } : { text };
        return { index: 0, ...part, finish_reason: finishReason };
    }
}

function getUsage(usage: CompletionUsage): Record<string, unknown> {
    return {
        prompt_tokens: usage.promptTokens,
        completion_tokens: usage.completionTokens,
        total_tokens: usage.promptTokens + usage.completionTokens,
        prompt_tokens_details: { cached_tokens: usage.cachedTokens },
    };
}
