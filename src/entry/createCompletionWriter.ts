/*
 * Writes completions as server-sent events that end with `[DONE]`, or as one JSON object.
 */
import { ServerResponse } from "node:http";
import { Metrics } from "../metrics";
import { End } from "../protocol";
import { Clock } from "../runtime";
import { CompletionRequest } from "./CompletionRequest";
import { CompletionWriter } from "./CompletionWriter";
import { getRefusalBody } from "./getRefusalBody";
import { getRunStateName } from "./getRunStateName";
import { Refusal } from "./Refusal";
import { sendRefusal } from "./sendRefusal";
import { writeWithBackpressure } from "./writeWithBackpressure";

const millisecondsPerSecond = 1_000;

/**
 * Creates the writer of one response.
 * @param options - The clock and the metrics.
 * @param response - The response, of which nothing has been sent.
 * @param requestId - The request's id.
 * @param request - The checked completion request.
 */
export function createCompletionWriter(
    options: { clock: Clock; metrics: Metrics; },
    response: ServerResponse,
    requestId: string,
    request: CompletionRequest,
): CompletionWriter {
    const id = `${request.isChat ? "chatcmpl" : "cmpl"}-${requestId}`;
    const created = Math.floor(options.clock.getWallMilliseconds() / millisecondsPerSecond);
    const bufferedTexts: string[] = [];
    let isFirstChunk = true;
    return { writeText, end, refuse };

    async function writeText(text: string): Promise<void> {
        if (!request.isStreaming) {
            bufferedTexts.push(text);
            return;
        }
        await writeEvent(createChunk(createChoice(text)));
        isFirstChunk = false;
    }

    async function end(end: End): Promise<void> {
        if (response.destroyed) {
            return;
        }
        if (!request.isStreaming) {
            setHeaders("application/json");
            response.end(JSON.stringify(createResponseBody(end)));
            return;
        }
        await writeEvent(createChunk({ ...createChoice(""), finish_reason: end.finishReason }));
        if (request.includesUsage) {
            await writeEvent({ ...createChunk(undefined), usage: createUsage(end) });
        }
        response.end("data: [DONE]\n\n");
    }

    function refuse(refusal: Refusal): void {
        if (!response.headersSent) {
            sendRefusal(response, refusal, requestId);
            return;
        }
        const body = { ...getRefusalBody(refusal, requestId), run: getRunStateName(refusal.runState) };
        response.end(`event: error\ndata: ${JSON.stringify(body)}\n\n`);
    }

    /** Writes one server-sent event. */
    async function writeEvent(value: object): Promise<void> {
        if (!response.headersSent) {
            setHeaders("text/event-stream");
            response.setHeader("cache-control", "no-cache");
        }
        await writeWithBackpressure(options, response, `data: ${JSON.stringify(value)}\n\n`);
    }

    function setHeaders(contentType: string): void {
        response.setHeader("content-type", contentType);
        response.setHeader("basilwing-run", "yes");
        response.setHeader("x-request-id", requestId);
    }

    /** Creates the choice that contains a part of the text. */
    function createChoice(text: string): object {
        if (!request.isChat) {
            return { index: 0, text };
        }
        const role = isFirstChunk ? { role: "assistant" } : {};
        return { index: 0, delta: text === "" ? {} : { ...role, content: text } };
    }

    function createChunk(choice: object | undefined): object {
        return {
            id,
            object: request.isChat ? "chat.completion.chunk" : "text_completion",
            created,
            model: request.model,
            choices: choice === undefined ? [] : [choice],
        };
    }

    function createResponseBody(end: End): object {
        const text = bufferedTexts.join("");
        const content = request.isChat ? { message: { role: "assistant", content: text } } : { text };
        return {
            id,
            object: request.isChat ? "chat.completion" : "text_completion",
            created,
            model: request.model,
            choices: [{ index: 0, ...content, finish_reason: end.finishReason }],
            usage: createUsage(end),
        };
    }
}

/** Creates the token usage in the format that client libraries expect. */
function createUsage(end: End): object {
    return {
        prompt_tokens: end.promptTokens,
        completion_tokens: end.completionTokens,
        total_tokens: end.promptTokens + end.completionTokens,
        prompt_tokens_details: { cached_tokens: end.cachedPromptTokens },
    };
}
