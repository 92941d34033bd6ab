/*
 * Checks the JSON of completion requests and renders their prompts.
 */
import { RefusalReason } from "../protocol";
import { renderPrompt } from "../routing";
import { CompletionRequest } from "./CompletionRequest";
import { createRefusal } from "./createRefusal";
import { ParseCompletionOutcome } from "./ParseCompletionOutcome";
import { parseJsonObject } from "./parseJsonObject";

const defaultMaximumTokens = 1_024;
const maximumRequestedTokens = 131_072;

/**
 * Checks a completion request.
 * @param body - The request's body.
 * @param isChat - Whether the request is for a chat completion.
 */
export function parseCompletionRequest(body: Buffer, isChat: boolean): ParseCompletionOutcome {
    const parsed = parseJsonObject(body);
    if (parsed.kind === "invalid") {
        return refuse(parsed.message, parsed.reason);
    }
    const json = parsed.value;
    if (typeof json["model"] !== "string" || json["model"].length === 0) {
        return refuse("`model` must be the name of a model.");
    }
    const prompt = renderPrompt(json, isChat);
    if (prompt === undefined) {
        return refuse(
            isChat ? "`messages` must be a list of messages with role and text." : "`prompt` must be a text.",
        );
    }
    const maximumTokens = json["max_tokens"] ?? json["max_completion_tokens"] ?? defaultMaximumTokens;
    if (!isWholeNumber(maximumTokens) || maximumTokens < 1 || maximumTokens > maximumRequestedTokens) {
        return refuse(`\`max_tokens\` must be a whole number from 1 to ${maximumRequestedTokens}.`);
    }
    const seed = json["seed"];
    if (seed !== undefined && (!isWholeNumber(seed) || seed < 0)) {
        return refuse("`seed` must be a whole number of at least 0.");
    }
    if (json["stream"] !== undefined && typeof json["stream"] !== "boolean") {
        return refuse("`stream` must be true or false.");
    }
    return { kind: "parsed", request: createRequest(json, isChat, prompt, maximumTokens, seed) };
}

/** Creates the checked request. */
function createRequest(
    json: Record<string, unknown>,
    isChat: boolean,
    prompt: string,
    maximumTokens: number,
    seed: number | undefined,
): CompletionRequest {
    const [model, version] = splitModel(json["model"] as string);
    const streamOptions = json["stream_options"] as { include_usage?: unknown; } | undefined;
    return {
        model,
        version,
        isChat,
        isStreaming: json["stream"] === true,
        includesUsage: streamOptions?.include_usage === true,
        prompt,
        maximumTokens,
        seed: seed === undefined ? undefined : BigInt(seed),
        body: json,
    };
}

/** Splits `model@version` into its parts; the version is undefined where the text contains none. */
function splitModel(text: string): readonly [string, string | undefined] {
    const at = text.lastIndexOf("@");
    return at <= 0 ? [text, undefined] : [text.slice(0, at), text.slice(at + 1)];
}

/** Returns whether a value is a whole number that a double represents exactly. */
function isWholeNumber(value: unknown): value is number {
    return Number.isSafeInteger(value);
}

/** Gets the outcome for an invalid request. */
function refuse(message: string, reason = RefusalReason.INVALID_REQUEST): ParseCompletionOutcome {
    return { kind: "refused", refusal: createRefusal(reason, message) };
}
