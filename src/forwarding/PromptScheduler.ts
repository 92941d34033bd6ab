/*
 * What is decided of a request with a prompt before it is sent to an engine.
 */
import { FleetInstance } from "../protocol";
import { ForwardingTask } from "./ForwardingTask";
import { PrefixSources } from "./PrefixSources";

/** Places requests with prompts; requests without one pass unchanged. */
export interface PromptScheduler {
    /** Chooses an engine among candidates; undefined where there are none. */
    choose(task: ForwardingTask, candidates: readonly FleetInstance[]): FleetInstance | undefined;
    /**
     * Waits for the end of a read that is under way of what a request's engine lacks.
     * @returns Whether it waited, so that the request is to be placed anew; a request waits once.
     */
    waitForPrefill(task: ForwardingTask, instance: FleetInstance): Promise<boolean>;
    /** Gets where a request's engine may fetch shared parts from, and notes that it reads them. */
    startPrefill(task: ForwardingTask, instance: FleetInstance): PrefixSources | undefined;
    /** Notes that a request's prompt has been read, or never will be. */
    recordPrefillEnd(task: ForwardingTask): void;
}
