/*
 * A completion before it has a time.
 */
import { WorkloadRequest } from "./WorkloadRequest";

/** A completion's content. */
export type CompletionTemplate = Omit<
    Extract<WorkloadRequest, { kind: "completion"; }>,
    "arrivalMilliseconds" | "isExcess"
>;
