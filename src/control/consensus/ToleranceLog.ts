/*
 * The log of how many further losses of members the group bears.
 */
import { GroupTolerance } from "./GroupTolerance";

/** Writes a line when the tolerance that the leader knows changes. */
export interface ToleranceLog {
    /**
     * Observes the tolerance.
     * @param tolerance - What the group bears; undefined where the member is not the leader.
     */
    observe(tolerance: GroupTolerance | undefined): void;
}
