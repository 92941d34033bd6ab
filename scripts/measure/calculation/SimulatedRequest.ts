/*
 * A request of a calculated workload.
 */
import { Priority } from "../../../src/protocol";

/** One request and when it arrives. */
export interface SimulatedRequest {
    id: string;
    arrivalMilliseconds: number;
    workspace: string;
    subscriber: string;
    priority: Priority;
    hashes: readonly string[];
    promptTokens: number;
    answerTokens: number;
    isShort: boolean;
    isExcess: boolean;
}
