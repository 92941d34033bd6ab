/*
 * The units in which the quotas of workspaces are stated.
 */

/** What a quota counts. */
export enum QuotaUnit {
    /** Each request counts as 1. */
    Requests = "requests",
    /** Each request counts as its prompt tokens and the maximum tokens of its response. */
    Tokens = "tokens",
}
