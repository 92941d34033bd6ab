/*
 * The record of a request that has not been answered yet.
 */
import { WorkloadRequest } from "../workloads";
import { RequestRecord } from "./RequestRecord";

/** Creates the record of a request; until its answer is whole, it counts as lost. */
export function createRequestRecord(request: WorkloadRequest): RequestRecord {
    return {
        request,
        outcome: "lost",
        code: "",
        runState: "",
        firstTokenMilliseconds: undefined,
        interTokenMilliseconds: [],
        endMilliseconds: 0,
        promptTokens: 0,
        cachedTokens: 0,
        completionTokens: 0,
    };
}
