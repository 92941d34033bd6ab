/*
 * The content of a completion without its arrival time.
 */
import { WorkloadRequest } from "./WorkloadRequest";

/** A completion request without its arrival time. */
export type CompletionTemplate = Omit<
    Extract<WorkloadRequest, { kind: "completion"; }>,
    "arrivalMilliseconds" | "isExcess"
>;
