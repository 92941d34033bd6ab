/*
 * What operators are told of a change.
 */

/** The answer to a change, as JSON. */
export interface ConfigurationChangeResponse {
    /** How the change ended. */
    outcome: "accepted" | "conflict" | "invalid" | "pending";
    /** The revision after the change, or the one that is there. */
    revision: number;
    /** What is wrong, or what is there now. */
    problems: readonly string[];
}
