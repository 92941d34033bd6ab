/*
 * The outcome of a call to the control members.
 */

/** The outcome of a call, after all attempts. */
export type OperatorCallOutcome =
    | {
        kind: "answered";
        /** The HTTP status. */
        status: number;
        /** The parsed JSON body. */
        body: unknown;
    }
    /** The input is invalid, and nothing was sent. */
    | { kind: "invalid"; reason: string; }
    | {
        kind: "unreachable";
        /** The last failure of each address. */
        reason: string;
        /** Whether a response was lost or left the outcome unknown, so that the call may have run. */
        mayHaveRun: boolean;
    };
