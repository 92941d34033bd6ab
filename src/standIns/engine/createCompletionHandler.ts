/*
 * Handles completion requests: parses them, runs them in the engine's core and writes the responses.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { createPrefixChain, PrefixScope, renderPrompt } from "../../routing";
import { readBody } from "../readBody";
import { sendJson } from "../sendJson";
import { CompletionBody } from "./CompletionBody";
import { CompletionHandlerOptions } from "./CompletionHandlerOptions";
import { createCompletionText } from "./createCompletionText";
import { createCompletionWriter } from "./createCompletionWriter";
import { EngineRun } from "./EngineRun";
import { EngineRunRecord } from "./EngineRunRecord";

const defaultMaximumTokens = 64;
const truncationThresholdTokens = 2;

/**
 * Creates the handler of one incarnation's completion requests.
 * @param options - The engine's core, settings and faults.
 */
export function createCompletionHandler(
    options: CompletionHandlerOptions,
): (request: IncomingMessage, response: ServerResponse, isChat: boolean) => Promise<void> {
    const { settings, core, runLog, clock, random } = options;
    let arrivalCount = 0;
    return handle;

    async function handle(request: IncomingMessage, response: ServerResponse, isChat: boolean): Promise<void> {
        const body = JSON.parse((await readBody(request)).toString("utf8")) as CompletionBody;
        const requestId = String(request.headers["x-request-id"] ?? "");
        response.setHeader("x-request-id", requestId);
        const prompt = renderPrompt(body, isChat);
        if (prompt === undefined) {
            sendJson(response, 400, { error: { message: "The prompt is missing" } });
            return;
        }
        const refusal = getRefusal(body);
        if (refusal !== undefined) {
            sendJson(response, refusal.status, { error: { message: refusal.message } });
            return;
        }
        if (random.getFraction() < (options.getFaults().lateShare ?? 0)) {
            await clock.sleep(options.getFaults().lateMilliseconds ?? 0);
        }
        startRun(response, requestId, body, prompt, isChat);
    }

    /** Gets the reason why a request is refused; undefined if it is accepted. */
    function getRefusal(body: CompletionBody): { status: number; message: string; } | undefined {
        if (options.isLoading()) {
            return { status: 503, message: "Weights are being loaded" };
        }
        if (body.model !== undefined && body.model !== settings.model) {
            return { status: 404, message: "The model is not served" };
        }
        if (body.version !== undefined && body.version !== "" && body.version !== options.getVersion()) {
            return { status: 409, message: "The version is not served" };
        }
        return undefined;
    }

    /** Queues a request in the core. */
    function startRun(
        response: ServerResponse,
        requestId: string,
        body: CompletionBody,
        prompt: string,
        isChat: boolean,
    ): void {
        const version = options.getVersion();
        const scope = getScope(body, settings.model, version);
        const chain = createPrefixChain(prompt, scope, settings.blockTokens);
        const maximumTokens = body.max_completion_tokens ?? body.max_tokens ?? defaultMaximumTokens;
        const skipTokens = body.skip_tokens ?? 0;
        const text = createCompletionText(prompt, String(body.seed ?? 0), version, maximumTokens);
        for (let skipped = 0; skipped < Math.min(skipTokens, text.tokens); skipped++) {
            text.getNextToken();
        }
        const faults = options.getFaults();
        const hasWrongId = random.getFraction() < (faults.crossedShare ?? 0);
        const isTruncated = random.getFraction() < (faults.truncatedShare ?? 0);
        const responseId = hasWrongId ? `${requestId}-other` : requestId;
        const record: EngineRunRecord = {
            requestId,
            incarnation: options.incarnation,
            version,
            priority: body.priority ?? 0,
            promptTokens: chain.promptBytes,
            cachedTokens: 0,
            completionTokens: skipTokens,
            outcome: "running",
        };
        runLog.push(record);
        const writer = createCompletionWriter(response, {
            requestId: responseId,
            model: settings.model,
            isChat,
            isStreamed: body.stream === true,
            headers: {
                "x-request-id": responseId,
                "x-engine-incarnation": options.incarnation,
                "x-weights-version": version,
            },
        });
        const run: EngineRun = {
            requestId,
            priority: record.priority,
            arrivalNumber: arrivalCount,
            hashes: chain.hashes,
            promptTokens: Math.max(1, chain.promptBytes + skipTokens),
            processedTokens: 0,
            computedTokens: 0,
            generatedTokens: Math.min(skipTokens, text.tokens),
            responseTokens: text.tokens,
            isPoisonous: settings.poisonMarker !== "" && prompt.includes(settings.poisonMarker),
            isCancelled: false,
            getNextToken: text.getNextToken,
            send,
        };
        arrivalCount += 1;
        writer.start();
        response.on("close", cancel);
        core.addRun(run);

        function send(token: string | undefined): void {
            record.completionTokens = run.generatedTokens;
            record.cachedTokens = Math.max(0, record.promptTokens + skipTokens - run.computedTokens);
            if (token === undefined) {
                record.outcome = "completed";
                writer.end(record, text.tokens < maximumTokens ? "stop" : "length");
                return;
            }
            if (isTruncated && run.generatedTokens > skipTokens + truncationThresholdTokens) {
                writer.truncate();
                return;
            }
            writer.writeToken(token);
        }

        function cancel(): void {
            if (record.outcome === "running") {
                record.outcome = "cancelled";
                run.isCancelled = true;
                core.notifyCancelled();
            }
        }
    }
}

/** Gets the scope of a request's cache salt; parts that the salt lacks are the engine's model, its version and "". */
function getScope(body: CompletionBody, model: string, version: string): PrefixScope {
    const salt = parseSalt(body.cache_salt);
    return { workspace: salt.workspace ?? "", model: salt.model ?? model, version: salt.version ?? version };
}

function parseSalt(salt: string | undefined): Partial<PrefixScope> {
    try {
        return JSON.parse(salt ?? "{}") as Partial<PrefixScope>;
    }
    catch {
        return { workspace: salt };
    }
}
