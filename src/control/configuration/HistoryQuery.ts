/*
 * The argument of the history query, as JSON.
 */

/** Requests a page of changes, or the differences between two revisions. */
export type HistoryQuery =
    | {
        kind: "page";
        /** Selects only changes before this revision. */
        before?: number;
        /** The maximum number of changes in the page. */
        limit?: number;
        /** Selects only changes of this level or its descendants. */
        level?: string;
    }
    | {
        kind: "difference";
        /** The revision to compare from. */
        from: number;
        /** The revision to compare with; the newest if absent. If it is lower than `from`, differences are reversed. */
        to?: number;
    };
