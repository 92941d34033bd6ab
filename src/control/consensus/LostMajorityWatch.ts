/*
 * The watch for a lost majority.
 */
import { Member } from "../../protocol";

/** Reports the voters that are known to be lost for good. */
export interface LostMajorityWatch {
    /** Gets the voters whose addresses answer with other identities, if the others are no majority; otherwise empty. */
    getLostVoters(): readonly Member[];
}
