/*
 * The head of a backend server's answer.
 */

/** Status and headers of an answer. */
export interface AnswerHead {
    /** The HTTP status. */
    status: number;
    /** The headers that are passed on, names and values in turn. */
    headers: readonly string[];
    /** Whether the answer carries proof that the backend server made it. */
    isSealed: boolean;
    /** The weights version under which an engine answers. */
    weightsVersion: number | undefined;
}
