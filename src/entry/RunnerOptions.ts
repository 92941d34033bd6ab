/*
 * What running requests needs beside the entry's options.
 */
import { RetryBudget } from "../limits";
import { EntryOptions } from "./EntryOptions";
import { QuarantineGate } from "./quarantine";
import { SidecarLink } from "./sidecars";

/** The parts that all requests of an entry share. */
export interface RunnerOptions extends EntryOptions {
    /** The connections to sidecars. */
    link: SidecarLink;
    /** Keeps requests that crash engines from doing so again. */
    quarantineGate: QuarantineGate;
    /** How many retries may be made. */
    retryBudget: RetryBudget;
}
