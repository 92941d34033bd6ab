/*
 * The resource use of one role at the design size.
 */
import { CapacityLine } from "./CapacityLine";
import { FittedLine } from "./FittedLine";

/** The resource use of one role, as a section of the capacity page shows it. */
export interface RoleCapacity {
    /** The role's name, the heading of its section. */
    title: string;
    /** The state that the role stores, one sentence for each part. */
    state: readonly string[];
    /** Whether the role has instances of its own, so that the budget for control on a shared node does not apply to it. */
    isDedicatedInstance: boolean;
    /** The causes of resource use. */
    lines: readonly CapacityLine[];
    /** The fitted lines that the slopes come from, each with its validation point. */
    fits: readonly FittedLine[];
}
