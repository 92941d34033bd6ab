/*
 * The options of the quotas at an entry process.
 */
import { FeedState } from "../feed";
import { Metrics } from "../metrics";
import { Clock, RandomSource } from "../runtime";
import { QuotaBounds } from "./QuotaBounds";

/** The options of the quotas. */
export interface WorkspaceQuotasOptions {
    /** Identifies the entry process and its start. */
    reporter: string;
    /** The document with the quotas, and the contact with control. */
    state: Pick<
        FeedState,
        "getRouteTable" | "getEntryCount" | "getContactStartMilliseconds" | "getDocumentAgeMilliseconds"
    >;
    /** The bound of a window. */
    bounds: QuotaBounds;
    /** The clock. */
    clock: Clock;
    /** Spreads the delays of callers that are refused. */
    random: RandomSource;
    /** Counts decisions. */
    metrics: Metrics;
}
