/*
 * The options of retry budgets.
 */
import { FeedState } from "../feed";
import { Clock } from "../runtime";

/** The options of the retry budgets of an entry process. */
export interface RetryBudgetsOptions {
    /** The number of retries that all entry processes together may send for each request. */
    share: number;
    /** The number of retries that they may send beyond that share, within a window. */
    reserve: number;
    /** The length of that window, in milliseconds. */
    windowMilliseconds: number;
    /** The number of entry processes that share the reserve, and the contact with control. */
    state: Pick<FeedState, "getEntryCount" | "getContactStartMilliseconds">;
    /** The clock. */
    clock: Clock;
}
