/*
 * Connects the production scheduler and prefix index to a simulated engine.
 */
import { create } from "@bufbuild/protobuf";
import { CacheEvent } from "../../../src/backends";
import { ProcessRecordSchema } from "../../../src/protocol";
import {
    createPrefixIndex,
    createRequestScheduler,
    RequestSchedulerOptions,
    ScheduledRequest,
} from "../../../src/sidecar";
import { createSimulatedEngine, SimulatedEngineOptions } from "./createSimulatedEngine";
import { SimulatedRequest } from "./SimulatedRequest";
import { SimulatedSidecar } from "./SimulatedSidecar";

const eventDelayMilliseconds = 50;

/** The options of a simulated sidecar. */
export interface SimulatedSidecarOptions extends Omit<SimulatedEngineOptions, "onEvent"> {
    /** The time from a request's submission to its deadline. */
    deadlineMilliseconds: number;
    /** Options that override those of the scheduler. */
    scheduler: Partial<RequestSchedulerOptions>;
    /** Returns whether the next cache event is lost on its way to the index. */
    isEventLost: () => boolean;
}

/**
 * Creates a sidecar with its engine.
 * @param options - The options.
 */
export function createSimulatedSidecar(options: SimulatedSidecarOptions): SimulatedSidecar {
    const { time, name, deadlineMilliseconds, isEventLost } = options;
    const index = createPrefixIndex();
    const scheduler = createRequestScheduler({
        clock: time.clock,
        prefixIndex: index,
        maximumRunning: 64,
        maximumQueued: 1_000,
        prefillTokensPerSecond: options.prefillTokensPerSecond,
        blockTokens: 4_096,
        ...options.scheduler,
    });
    const engine = createSimulatedEngine({ ...options, onEvent });
    const record = create(ProcessRecordSchema, { instanceId: name, serves: "large" });
    const signal = new AbortController().signal;
    return { record, submit, crash: engine.clear };

    function onEvent(event: CacheEvent): void {
        if (!isEventLost()) {
            time.schedule(eventDelayMilliseconds, () => index.addEvent(event));
        }
    }

    async function submit(
        request: SimulatedRequest,
        { mayRedirect, acceptBelowMilliseconds, onFirstToken, onEnd }: Parameters<SimulatedSidecar["submit"]>[1],
    ): ReturnType<SimulatedSidecar["submit"]> {
        const scheduled = { ...createScheduledRequest(request), mayRedirect, acceptBelowMilliseconds };
        const outcome = await scheduler.schedule(scheduled, signal);
        if (outcome.kind === "refused") {
            return outcome;
        }
        engine.run(request, outcome.slot.enginePriority ?? 0, () => {
            outcome.slot.recordFirstToken();
            onFirstToken();
        }, cachedTokens => {
            index.addResponse(request.hashes, Math.floor(cachedTokens / 4_096));
            outcome.slot.release({
                promptTokens: request.promptTokens,
                cachedTokens,
                completionTokens: request.outputTokens,
            });
            onEnd(cachedTokens);
        });
        return outcome;
    }

    function createScheduledRequest(request: SimulatedRequest): ScheduledRequest {
        return {
            requestId: request.id,
            workspace: request.workspace,
            subscriber: request.subscriber,
            workspaceShareWeight: 1,
            subscriberShareWeight: 1,
            priority: request.priority,
            deadlineMilliseconds: time.clock.getMonotonicMilliseconds() + deadlineMilliseconds,
            prefixHashes: request.hashes,
            promptTokens: request.promptTokens,
            maximumOutputTokens: 1_000,
            mayRedirect: false,
            runAlone: false,
        };
    }
}
