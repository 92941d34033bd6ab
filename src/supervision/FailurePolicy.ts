/*
 * What happens after a background task has failed.
 */

/** What happens after a background task has failed. */
export enum FailurePolicy {
    /** The task is started again after a pause. */
    Restart = "restart",
    /** The task is given up; whatever depends on it goes on without it. */
    GiveUp = "giveUp",
    /** The process ends, since its state may be untrue. */
    EndProcess = "endProcess",
}
