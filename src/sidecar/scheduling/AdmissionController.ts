/*
 * Whether a request that arrives may wait.
 */
import { ScheduleOutcome } from "../ScheduleOutcome";
import { QueuedRequest } from "./QueuedRequest";

/** Decides on requests as they arrive. */
export interface AdmissionController {
    /**
     * Admits a request or refuses it.
     * @param queued - The request, with the estimate of its cost.
     * @param queueLength - How many requests wait.
     */
    decide(queued: QueuedRequest, queueLength: number): { kind: "admitted"; } | ScheduleOutcome & { kind: "refused"; };
}
