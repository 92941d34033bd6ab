/*
 * The role of a member of a replicated log.
 */

/** The role of a member, as Raft defines it; a stopped member no longer takes part. */
export enum ConsensusRole {
    Follower = "follower",
    Candidate = "candidate",
    Leader = "leader",
    Learner = "learner",
    Stopped = "stopped",
}
