/*
 * The operations that the operators' interface calls on the control member itself, besides commands and queries.
 */
import { InForceReport } from "./InForceReport";

/** The operations of a control member. */
export interface ControlOperations {
    /**
     * Waits until a configuration revision is in force on all instances, as observed by the leader.
     * @param revision - The configuration revision.
     * @param milliseconds - The maximum wait, in milliseconds.
     * @returns Whether the revision is in force, when it is or when the wait ends.
     */
    waitInForce(revision: bigint, milliseconds: number): Promise<InForceReport>;
}
