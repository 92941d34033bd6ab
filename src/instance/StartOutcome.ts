/*
 * The result of starting a process.
 */
import { RunningInstance } from "./RunningInstance";

/** The running process, or why it can't start. */
export type StartOutcome =
    /** The process runs, with all listeners open. */
    | { kind: "started"; instance: RunningInstance; }
    /** The process can't start, for a reason that the operator must resolve. */
    | { kind: "failed"; reason: string; };
