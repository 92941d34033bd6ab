/*
 * Creates the record of a request that has no response yet.
 */
import { WorkloadRequest } from "../workloads";
import { RequestRecord } from "./RequestRecord";

/**
 * Creates the record of a request, which counts as lost until a response arrives.
 * @param request - The request.
 */
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
