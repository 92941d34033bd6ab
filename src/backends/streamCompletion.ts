/*
 * Runs one completion at an engine, from the request to the end marker of its stream.
 */
import { Dispatcher } from "undici";
import { getErrorMessage } from "../errors";
import { EngineEvent } from "./EngineEvent";
import { EngineRequest } from "./EngineRequest";
import { FailureCause } from "./FailureCause";
import { getFailureCause } from "./getFailureCause";
import { readBody } from "./readBody";
import { readLines } from "./readLines";

const dataPrefix = "data: ";
const endMarker = "[DONE]";
/** The maximum size of a refusal's message, in bytes. */
const maximumMessageBytes = 65_536;
const seedMask = 0x1f_ffff_ffff_ffffn;

interface StreamChunk {
    id: string;
    choices: readonly { text?: string; delta?: { content?: string; }; finish_reason?: string; }[];
    usage?: {
        prompt_tokens: number;
        completion_tokens: number;
        prompt_tokens_details?: { cached_tokens?: number; };
    };
}

/**
 * Streams a completion.
 * @param dispatcher - The connection pool of the engine.
 * @param address - The engine's address, as `http://ip:port`.
 * @param request - The completion request.
 * @param signal - Cancels the completion by closing its connection.
 * @returns The events of the response; the last is `end`, `refused` or `failed`.
 */
export async function* streamCompletion(
    dispatcher: Dispatcher,
    address: string,
    request: EngineRequest,
    signal: AbortSignal,
): AsyncGenerator<EngineEvent> {
    try {
        const response = await dispatcher.request({
            origin: address,
            method: "POST",
            path: request.isChat ? "/v1/chat/completions" : "/v1/completions",
            headers: { "content-type": "application/json", "x-request-id": request.requestId },
            body: JSON.stringify(getRequestBody(request)),
            signal,
        });
        if (response.headers["x-request-id"] !== request.requestId) {
            await response.body.dump();
            yield createRequestIdMismatch();
            return;
        }
        if (response.statusCode !== 200) {
            yield { kind: "refused", status: response.statusCode, message: await readMessage(response) };
            return;
        }
        yield {
            kind: "started",
            incarnation: getHeader(response, "x-engine-incarnation"),
            version: getHeader(response, "x-weights-version"),
        };
        yield* readChunks(response.body, request.requestId);
    }
    catch (error) {
        const cause = getFailureCause(error, signal);
        const hasSent = cause !== FailureCause.Unreachable;
        yield { kind: "failed", hasSent, message: getErrorMessage(error), cause };
    }
}

async function readMessage({ body }: Dispatcher.ResponseData): Promise<string> {
    return (await readBody(body, maximumMessageBytes)).toString();
}

/** Reads the stream's chunks. A stream that ends without its end marker counts as truncated. */
async function* readChunks(body: AsyncIterable<Uint8Array>, requestId: string): AsyncGenerator<EngineEvent> {
    let end: EngineEvent | undefined;
    for await (const line of readLines(body)) {
        if (!line.startsWith(dataPrefix)) {
            continue;
        }
        const data = line.slice(dataPrefix.length);
        if (data === endMarker) {
            yield end ?? createFailure(FailureCause.Malformed, "The stream ended without its usage");
            return;
        }
        const chunk = parseChunk(data);
        if (chunk === undefined) {
            yield createFailure(FailureCause.Malformed, "A chunk could not be read");
            return;
        }
        if (chunk.id !== requestId) {
            yield createRequestIdMismatch();
            return;
        }
        const text = chunk.choices[0]?.delta?.content ?? chunk.choices[0]?.text ?? "";
        if (text !== "") {
            yield { kind: "text", text, tokens: 1 };
        }
        end = getEndEvent(chunk) ?? end;
    }
    yield createFailure(FailureCause.Truncated, "The stream ended without its end marker");
}

/** Parses a chunk; undefined if it is not JSON. */
function parseChunk(data: string): StreamChunk | undefined {
    try {
        return JSON.parse(data) as StreamChunk;
    }
    catch {
        return undefined;
    }
}

/** Gets the `end` event of a chunk that carries the usage; undefined for other chunks. */
function getEndEvent(chunk: StreamChunk): EngineEvent | undefined {
    if (chunk.usage === undefined) {
        return undefined;
    }
    return {
        kind: "end",
        finishReason: chunk.choices[0]?.finish_reason ?? "stop",
        promptTokens: chunk.usage.prompt_tokens,
        cachedTokens: chunk.usage.prompt_tokens_details?.cached_tokens ?? 0,
        completionTokens: chunk.usage.completion_tokens,
    };
}

function createRequestIdMismatch(): EngineEvent {
    return createFailure(FailureCause.RequestIdMismatch, "The answer bears the id of another request");
}

function createFailure(cause: FailureCause, message: string): EngineEvent {
    return { kind: "failed", hasSent: true, message, cause };
}

/** Gets a request in the engine's wire format. */
function getRequestBody(request: EngineRequest): Record<string, unknown> {
    return {
        ...request.body,
        model: request.model,
        version: request.version,
        cache_salt: request.cacheSalt,
        priority: request.priority,
        seed: Number(request.seed & seedMask),
        skip_tokens: request.skipTokens,
        stream: true,
    };
}

function getHeader(response: Dispatcher.ResponseData, name: string): string {
    const value = response.headers[name];
    return typeof value === "string" ? value : "";
}
