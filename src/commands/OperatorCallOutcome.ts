/*
 * What became of a call to the control members.
 */

/** The outcome of a call. */
export type OperatorCallOutcome =
    | {
        kind: "answered";
        /** The HTTP status. */
        status: number;
        /** The parsed body. */
        body: unknown;
    }
    /** The options can't be used, and nothing was sent. */
    | { kind: "invalid"; reason: string; }
    | {
        kind: "unreachable";
        /** What was tried, one address after the other. */
        reason: string;
        /** Whether an answer was lost, so that the call may have run. */
        mayHaveRun: boolean;
    };
