/*
 * The kinds of workload.
 */

/** The user whose requests a workload resembles. */
export enum WorkloadKind {
    /** Long custody file summaries, short classifications at the counter, locker releases and status reads. */
    Regie = "regie",
    /** Long notebook summaries, cell labels, schedules and publishes. */
    Corrib = "corrib",
}
