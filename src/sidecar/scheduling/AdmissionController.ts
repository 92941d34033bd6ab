/*
 * Admission of arriving requests to the queue of a backend server.
 */
import { ScheduleOutcome } from "../ScheduleOutcome";
import { QueuedRequest } from "./QueuedRequest";

/** Decides for each arriving request whether it is queued or refused. */
export interface AdmissionController {
    /**
     * Admits a request or refuses it.
     * @param queued - The request, with the estimate of its cost.
     * @param queueLength - The number of requests that are already waiting.
     */
    decide(queued: QueuedRequest, queueLength: number): { kind: "admitted"; } | ScheduleOutcome & { kind: "refused"; };
}
