/*
 * The inside of an engine: prefill, batch and cache.
 */
import { EngineRun } from "./EngineRun";

/** The running inside of one incarnation of an engine. */
export interface EngineCore {
    /** Takes a run in. */
    addRun(run: EngineRun): void;
    /** Wakes the tasks after a run was cancelled. */
    notifyCancelled(): void;
    /** Gets what runs and waits. */
    getLoad(): { running: number; waiting: number; pendingPrefillTokens: number; };
    /** Ends the tasks; nothing that runs is answered any more. */
    end(): void;
}
