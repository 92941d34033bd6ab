/*
 * Runs requests of every kind: idempotent and non-idempotent.
 */
import { AdmittedRequestRunner } from "./AdmittedRequestRunner";

/** Runs an entry's requests, some of which continue after their callers have disconnected. */
export interface RequestDispatcher extends AdmittedRequestRunner {
    /** Gets the number of non-idempotent requests whose outcome is yet to be recorded. */
    getTasksInFlight(): number;
}
