/*
 * The elections of a member.
 */
import { VoteRequest, VoteResponse } from "../../protocol";

/** Campaigns for leadership, and votes for other candidates. */
export interface Election {
    /** Handles a candidate's request for a vote or a pre-vote. */
    handleVote(request: VoteRequest): Promise<VoteResponse | undefined>;
}
