/*
 * The names of priorities in settings.
 */

/** The priorities of requests, most urgent first. */
export enum PriorityName {
    Interactive = "interactive",
    Standard = "standard",
    Deferred = "deferred",
}
