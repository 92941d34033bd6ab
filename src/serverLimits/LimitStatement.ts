/*
 * What a backend server has said of its limit to one entry process.
 */

/** A statement, as the entry process reports it to control members. */
export interface LimitStatement {
    /** Unique for each statement; one that is reported again has the same id. */
    statementId: string;
    /** The id of the backend server. */
    instanceId: string;
    /** The requests a second that it takes from all entry processes together; 0 where it has no limit any more. */
    requestsPerSecond: number;
    /** The time since the statement, in milliseconds. */
    ageMilliseconds: number;
}
