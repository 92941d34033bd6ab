/*
 * Runs a completion at the engine and converts its response into events.
 */
import { create } from "@bufbuild/protobuf";
import { createCacheSalt, EngineEvent, EngineRequest } from "../backends";
import { assertNever } from "../errors";
import { CounterName } from "../metrics";
import { getRunState } from "../outcome";
import { CompletionWork, EndSchema, RefusalReason, StartedSchema, TextChunkSchema } from "../protocol";
import { AttemptEvent } from "./AttemptEvent";
import { AttemptRun } from "./AttemptRun";
import { CrashDetector, InFlightRequest } from "./crashes";
import { createRefusedEvent } from "./createRefusedEvent";
import { importStoredPrefix } from "./importStoredPrefix";
import { SidecarOptions } from "./SidecarOptions";
import { storeUsedPrefix } from "./storeUsedPrefix";

/**
 * Runs a completion.
 * @param options - The options of the sidecar.
 * @param run - The attempt that the scheduler has started.
 * @param work - The completion.
 * @param crashDetector - Collects evidence of engine crashes.
 */
export async function* runCompletionAttempt(
    options: SidecarOptions,
    run: AttemptRun,
    work: CompletionWork,
    crashDetector: CrashDetector | undefined,
): AsyncGenerator<AttemptEvent> {
    const { authority, backend, metrics } = options;
    const { attempt, prefixHashes, request, slot } = run;
    if (backend.kind !== "engine") {
        slot.release(undefined);
        yield refuse(RefusalReason.NOT_FOUND, "No engine stands here.");
        return;
    }
    const rejection = await importStoredPrefix(options, run, work);
    if (rejection !== undefined) {
        slot.release(undefined);
        yield refuse(rejection.reason, rejection.message);
        return;
    }
    const inFlight: InFlightRequest = {
        fingerprint: request.fingerprint,
        mustRunAlone: request.runAlone,
        backendIncarnation: run.getBackendState().incarnation,
    };
    let usage: { promptTokens: number; cachedTokens: number; completionTokens: number; } | undefined;
    let hasText = false;
    attempt.setRunState(getRunState({ kind: "responseLost" }));
    crashDetector?.addRequest(inFlight);
    try {
        for await (const event of backend.adapter.complete(createEngineRequest(run, work), attempt.signal)) {
            yield await convertEvent(event);
        }
    }
    finally {
        crashDetector?.removeRequest(inFlight);
        slot.release(usage);
    }

    /** Converts an engine's event into the attempt's. */
    async function convertEvent(event: EngineEvent): Promise<AttemptEvent> {
        switch (event.kind) {
            case "started":
                attempt.setRunState(getRunState({ kind: "handedToBackend" }));
                inFlight.backendIncarnation = event.incarnation;
                return convertStarted(event);
            case "text":
                if (!hasText) {
                    hasText = true;
                    slot.recordFirstToken();
                }
                return { case: "text", value: create(TextChunkSchema, { text: event.text, tokens: event.tokens }) };
            case "end":
                usage = event;
                storeUsedPrefix(options, run, work);
                return convertEnd(event);
            case "refused":
                attempt.setRunState(getRunState({ kind: "backendRefused" }));
                return refuse(RefusalReason.BACKEND_REFUSED, event.message);
            case "failed":
                return await convertFailure(event);
            default:
                return assertNever(event);
        }
    }

    function convertStarted(event: Extract<EngineEvent, { kind: "started"; }>): AttemptEvent {
        const value = create(StartedSchema, {
            companionIncarnation: options.incarnation,
            backendIncarnation: event.incarnation,
            version: event.version,
            queueMilliseconds: Math.round(run.queueMilliseconds),
        });
        return { case: "started", value };
    }

    /** Converts the end of a response, and updates the prefix index with its cache usage. */
    function convertEnd(event: Extract<EngineEvent, { kind: "end"; }>): AttemptEvent {
        if (backend.kind === "engine" && prefixHashes.length > 0) {
            const cachedShare = event.cachedTokens / Math.max(1, event.promptTokens);
            const cachedBlocks = Math.floor(cachedShare * prefixHashes.length);
            backend.index.addResponse(prefixHashes, cachedBlocks, inFlight.backendIncarnation);
        }
        metrics.addCount(CounterName.PromptTokens, event.promptTokens);
        metrics.addCount(CounterName.CachedPromptTokens, event.cachedTokens);
        return {
            case: "end",
            value: create(EndSchema, {
                finishReason: event.finishReason,
                promptTokens: event.promptTokens,
                cachedPromptTokens: event.cachedTokens,
                completionTokens: event.completionTokens,
            }),
        };
    }

    /** Converts a failure: an engine crash, a lost connection or a connection that was never established. */
    async function convertFailure(event: Extract<EngineEvent, { kind: "failed"; }>): Promise<AttemptEvent> {
        if (attempt.signal.aborted) {
            return refuse(RefusalReason.CANCELLED, "The request was given up.");
        }
        if (attempt.getRunState() !== getRunState({ kind: "handedToBackend" })) {
            attempt.setRunState(getRunState({ kind: "backendFailed", hasSent: event.hasSent }));
        }
        if (!event.hasSent) {
            return refuse(RefusalReason.BACKEND_UNREACHABLE, event.message);
        }
        const hasCrashed = await crashDetector?.checkCrash(inFlight) ?? false;
        return refuse(hasCrashed ? RefusalReason.BACKEND_CRASHED : RefusalReason.LINK_LOST, event.message);
    }

    function refuse(reason: RefusalReason, message: string): AttemptEvent {
        return createRefusedEvent(reason, attempt.getRunState(), message, authority.getRevision());
    }
}

/** Creates the request to the engine. */
function createEngineRequest(run: AttemptRun, work: CompletionWork): EngineRequest {
    const { enginePriority, request } = run;
    return {
        requestId: request.requestId,
        model: work.model,
        version: work.version,
        cacheSalt: createCacheSalt({ workspace: request.workspace, model: work.model, version: work.version }),
        body: JSON.parse(Buffer.from(work.body).toString("utf8")) as Record<string, unknown>,
        isChat: work.chat,
        priority: enginePriority,
        seed: work.seed,
        skipTokens: request.continuation?.heldTokens ?? 0,
    };
}
