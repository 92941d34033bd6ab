/*
 * Why one of two concurrent runs of a request was ended in favour of the other.
 */

/** The reasons, as they are logged. */
export enum SupersededReason {
    /** Its backend server was silent, and the other run has delivered. */
    Silent = "silent",
    /** It was started beside a run whose server was silent, and that one has delivered. */
    Overtaken = "overtaken",
}
