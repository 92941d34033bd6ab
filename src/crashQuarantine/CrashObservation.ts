/*
 * A crash of a backend server, as one entry process has seen it.
 */

/** A crash with the subjects that may have caused it. */
export interface CrashObservation {
    /** Unique for each observation; one that is reported again has the same id. */
    reportId: string;
    /** The id of the backend server that crashed. */
    instanceId: string;
    /** The time since the crash, in milliseconds. */
    ageMilliseconds: number;
    /** The subjects of the requests whose responses had just begun, at an engine. */
    begunSubjectIds: readonly string[];
    /** The subjects of the requests whose responses had not begun, and of all requests at a plain server. */
    waitingSubjectIds: readonly string[];
}
