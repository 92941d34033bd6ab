/*
 * What an experiment can bring about.
 */

/** A fault, brought about in the middle of the measured time unless said otherwise. */
export enum FaultName {
    /** An engine crashes and comes back empty. */
    EngineCrash = "engine-crash",
    /** All entries restart at once. */
    EntryRestart = "entry-herd",
    /** Other documents become the popular ones. */
    PopularityShift = "hot-shift",
    /** Three in ten cache events are lost for five seconds. */
    EventLoss = "event-loss",
    /** One subscriber asks for 20 times its share, all the time. */
    HeavySubscriber = "heavy-subscriber",
}
