/*
 * The log of the group's repairs.
 */
import { GroupTolerance } from "./GroupTolerance";

/** Writes a line when a repair begins, at each of its steps, and when it ends. */
export interface RepairLog {
    /**
     * Observes the group.
     * @param tolerance - What the group bears; undefined where the member is not the leader.
     */
    observe(tolerance: GroupTolerance | undefined): void;
}
