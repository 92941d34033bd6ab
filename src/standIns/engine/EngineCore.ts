/*
 * The core of an engine stand-in: it prefills prompts and decodes a continuous batch.
 */
import { EngineRun } from "./EngineRun";

/** The core of one incarnation of an engine. */
export interface EngineCore {
    /** Queues a run. */
    addRun(run: EngineRun): void;
    /** Wakes the prefill task after a run was cancelled. */
    notifyCancelled(): void;
    /** Gets the numbers of running and waiting requests, and the prompt tokens that are not prefilled yet. */
    getLoad(): { running: number; waiting: number; pendingPrefillTokens: number; };
    /** Ends the tasks; runs in progress get no further tokens. */
    end(): void;
}
