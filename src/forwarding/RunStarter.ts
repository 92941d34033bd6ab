/*
 * Starts the runs of a request.
 */
import { ForwardingTask } from "./ForwardingTask";
import { RunStep } from "./RunStep";

/** Starts a run, whose steps are read until it has failed or the caller has the whole response. */
export type RunStarter<T> = (task: ForwardingTask) => AsyncIterator<RunStep<T>, void>;
