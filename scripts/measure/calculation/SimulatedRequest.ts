/*
 * A request of a simulated workload.
 */
import { Priority } from "../../../src/protocol";

/** One request with its arrival time, and what the sidecar's scheduler and the simulated engine need. */
export interface SimulatedRequest {
    /** The request's id, unique within the workload. */
    id: string;
    /** The arrival at the entry process, in virtual time. */
    arrivalMilliseconds: number;
    /** The name of the workspace. */
    workspace: string;
    /** The path of the subscriber. */
    subscriber: string;
    /** The scheduling priority. */
    priority: Priority;
    /** The chained hashes of the prompt's whole blocks, from the start of the prompt. */
    hashes: readonly string[];
    /** The length of the prompt. */
    promptTokens: number;
    /** The length of the output. */
    outputTokens: number;
    /** Whether the request is one of the workload's short ones. */
    isShort: boolean;
    /** Whether the request is from the one subscriber that sends far more than its share. */
    isExcess: boolean;
}
