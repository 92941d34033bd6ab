/*
 * Why requests are refused under contention: by the request queue of an entry process, and by load shedding.
 */

/** The reasons of refusals under contention, as they are logged and counted. */
export enum ContentionReason {
    /** At arrival: the requests ahead of it at this entry process take too long. */
    QueueTooLong = "queueTooLong",
    /** Later: more urgent requests have come since, or fewer are started than before. */
    Overtaken = "overtaken",
    /** It has waited for its share of its caller's time. */
    WaitedTooLong = "waitedTooLong",
    /** Its workspace has most of the requests in a full queue. */
    QueueFull = "queueFull",
    /** Every backend server that could serve it is too full. */
    ServersFull = "serversFull",
}
