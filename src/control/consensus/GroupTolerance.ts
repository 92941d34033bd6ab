/*
 * What a group bears, as its leader knows it.
 */
import { VoterStatus } from "./VoterStatus";

/** The voters that a leader reaches, and how many of them the group can lose. */
export interface GroupTolerance {
    /** The voters of the newest member set, the leader included. */
    voters: readonly VoterStatus[];
    /** The number of voters that are responsive. */
    responsiveVoters: number;
    /** The number of responsive voters beyond a majority; 0 where there are none. */
    furtherLosses: number;
}
