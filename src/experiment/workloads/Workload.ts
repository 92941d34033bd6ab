/*
 * A workload: a list of requests and the subscribers that send them.
 */
import { WorkloadKind } from "./WorkloadKind";
import { WorkloadRequest } from "./WorkloadRequest";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

/** A workload of an experiment. */
export interface Workload {
    /** The kind of the workload. */
    kind: WorkloadKind;
    /** The subscribers of all workspaces. */
    subscribers: readonly WorkloadSubscriber[];
    /** The requests in the order of their arrival. */
    requests: readonly WorkloadRequest[];
    /** The expected mean length of prompts, in tokens. */
    meanPromptTokens: number;
    /** The mean arrival rate of completions, per second. */
    completionsPerSecond: number;
}
