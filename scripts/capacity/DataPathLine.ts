/*
 * One line of the data path's table.
 */

/** What the data path costs one process in one situation. */
export interface DataPathLine {
    /** The role of the process. */
    role: string;
    /** The situation. */
    situation: string;
    /** The requests a second that the process carries. */
    requestsPerSecond: number;
    /** The tokens a second that the process carries. */
    tokensPerSecond: number;
    /** The processor time of a request without its tokens, in microseconds; undefined where not measured. */
    microsecondsPerRequest: number | undefined;
    /** The processor time of a token, in microseconds; undefined where not measured. */
    microsecondsPerToken: number | undefined;
}
