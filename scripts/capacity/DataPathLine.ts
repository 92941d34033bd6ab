/*
 * One line of the data path's table.
 */

/** The load and the processor time of one process on the data path, in one situation. */
export interface DataPathLine {
    /** The role of the process, as in the names of its figures. */
    role: string;
    /** The situation, for instance "the peak". */
    situation: string;
    /** The requests a second that the process handles. */
    requestsPerSecond: number;
    /** The tokens a second that the process handles. */
    tokensPerSecond: number;
    /** The processor time of a request without its tokens, in microseconds; undefined if not measured. */
    microsecondsPerRequest: number | undefined;
    /** The processor time of a token, in microseconds; undefined if not measured. */
    microsecondsPerToken: number | undefined;
}
