/*
 * What a backend server of a soak does with a request instead of answering it.
 */

/** The faults of single answers. */
export enum SoakAnswerFault {
    None = "none",
    /** It refuses the request, which it doesn't run. */
    Refused = "refused",
    /** It runs the request, and closes the connection without an answer. */
    Lost = "lost",
}
