/*
 * The faults that an experiment can inject.
 */

/** A fault; it is injected in the middle of the measured time unless its comment says otherwise. */
export enum FaultName {
    /** One engine crashes and restarts with an empty cache. */
    EngineCrash = "engine-crash",
    /** All entry processes restart at the same time. */
    EntryRestart = "entry-herd",
    /** The popularity of documents changes, so that other documents become the most requested. */
    PopularityShift = "hot-shift",
    /** 30% of the engines' cache events are lost for five seconds. */
    EventLoss = "event-loss",
    /** One subscriber sends an additional 20 times the mean demand of a subscriber during the whole run. */
    HeavySubscriber = "heavy-subscriber",
}
