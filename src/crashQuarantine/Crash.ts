/*
 * A crash of a backend server, as the observations of all entry processes together show it.
 */
import { SubjectKind } from "./SubjectKind";

/** A crash of one backend server. */
export interface Crash {
    /** The backend server. */
    instanceId: string;
    /** When it was first seen, on the monotonic clock. */
    timeMilliseconds: number;
    /** The reports that were joined. */
    reportIds: Set<string>;
    /** The subjects of requests whose responses had just begun. */
    begunSubjectIds: Set<string>;
    /** The subjects of requests that waited for their response. */
    waitingSubjectIds: Set<string>;
    /** The kinds of subjects that the crash accuses no longer. */
    explainedKinds: Set<SubjectKind>;
}
