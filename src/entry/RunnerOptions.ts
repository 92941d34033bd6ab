/*
 * The options of the runners that dispatch requests to sidecars.
 */
import { RetryBudget } from "../limits";
import { EntryOptions } from "./EntryOptions";
import { QuarantineGate } from "./quarantine";
import { SidecarLink } from "./sidecars";

/** The entry's options, and the services that all requests of an entry share. */
export interface RunnerOptions extends EntryOptions {
    /** The client for calls to sidecars. */
    link: SidecarLink;
    /** Decides whether requests that may have crashed an engine run again. */
    quarantineGate: QuarantineGate;
    /** Limits retries to a share of first attempts. */
    retryBudget: RetryBudget;
}
