/*
 * Creates records of service calls for tests.
 */
import { RequestRecord } from "../../src/experiment/client";
import { createCompletionRecord } from "./createCompletionRecord";

/** Creates the record of a successful release. */
export function createServiceRecord(key: string, changes: Partial<RequestRecord> = {}): RequestRecord {
    const { request } = createCompletionRecord();
    return {
        ...createCompletionRecord(),
        firstTokenMilliseconds: undefined,
        request: {
            kind: "service",
            arrivalMilliseconds: 0,
            subscriber: request.subscriber,
            service: "lockers",
            action: "release",
            key,
            isResent: false,
        },
        ...changes,
    };
}
