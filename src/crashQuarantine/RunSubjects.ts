/*
 * What a request consists of that may crash the backend server that runs it.
 */

/** The subjects of one request. */
export interface RunSubjects {
    /** The ids of the shared parts of its prompt; empty for a request to a plain service. */
    readonly partIds: readonly string[];
    /** Gets the id of the request's own subject, which is computed at the first call. */
    getRequestSubjectId(): string;
}
