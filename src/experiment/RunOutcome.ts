/*
 * The raw outcome of one run, from which its figures are calculated.
 */
import { RunLogEntry } from "../standIns";
import { RequestRecord } from "./client";

/** The outcome of one policy's run. */
export interface RunOutcome {
    /** The policy's name. */
    policy: string;
    /** The records of all requests, those of the warm-up included. */
    records: readonly RequestRecord[];
    /** The calls that the service stand-ins ran, over all replicas. */
    runs: readonly RunLogEntry[];
    /** The number of prompt tokens that the engines computed in the measured time. */
    computedTokens: number;
    /** The number of prompt tokens wasted so far, at the start of each second of the measured time and at its end. */
    wastedTokens: readonly number[];
    /** The 99th percentile of the event loop's lag, in milliseconds. */
    eventLoopLagMilliseconds: number;
}
