/*
 * Decides where and when a request with a prompt is sent.
 */
import { FleetInstance } from "../protocol";
import { ForwardingTask } from "./ForwardingTask";
import { PrefixSources } from "./PrefixSources";

/** Schedules requests with prompts; has no effect on requests without one. */
export interface PromptScheduler {
    /** Chooses an engine among candidates; undefined where there are none. */
    choose(task: ForwardingTask, candidates: readonly FleetInstance[]): FleetInstance | undefined;
    /** Gets the prompt tokens of a request that an engine probably has not cached; 0 without a prompt. */
    getMissingTokens(task: ForwardingTask, instance: FleetInstance): number;
    /**
     * Waits for a prefill in flight of a shared prefix that a request's engine lacks.
     * @param task - The request.
     * @param instance - The engine that was chosen for it.
     * @returns Whether it waited, so that an engine must be chosen again; a request waits at most once.
     */
    waitForPrefill(task: ForwardingTask, instance: FleetInstance): Promise<boolean>;
    /**
     * Records that a request's prompt is sent to an engine.
     * @param task - The request.
     * @param instance - The engine.
     * @returns Where the engine may fetch shared prefixes from; undefined for requests without a prompt.
     */
    startPrefill(task: ForwardingTask, instance: FleetInstance): PrefixSources | undefined;
    /** Records that the prefill of a request's prompt has ended, or will not take place. */
    recordPrefillEnd(task: ForwardingTask): void;
}
