/*
 * Runs requests of every kind.
 */
import { AdmittedRequestRunner } from "./AdmittedRequestRunner";

/** Runs an entry's requests, of which some go on after their callers have left. */
export interface RequestDispatcher extends AdmittedRequestRunner {
    /** Gets how many requests have not yet recorded their outcome. */
    getTasksInFlight(): number;
}
