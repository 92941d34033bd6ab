/*
 * Which processes receive the facts of a kind.
 */

/** The receivers of facts. */
export enum FactDistribution {
    /** All entry processes act on the facts. */
    AllEntries = "allEntries",
    /** Only the leader needs the facts, and only for a short time. */
    Leader = "leader",
    /** Control members act on the facts; a few entry processes keep a copy for the next leader. */
    FewEntries = "fewEntries",
}
