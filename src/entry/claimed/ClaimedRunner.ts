/*
 * The runner of requests that may not be repeated.
 */
import { AdmittedRequestRunner } from "../AdmittedRequestRunner";

/** Runs each request in a task that continues when its caller disconnects, until the outcome is recorded. */
export interface ClaimedRunner extends AdmittedRequestRunner {
    /** Gets the number of tasks that have not recorded their outcome yet. */
    getTasksInFlight(): number;
}
