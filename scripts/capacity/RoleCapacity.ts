/*
 * What one role uses at the design size.
 */
import { CapacityLine } from "./CapacityLine";
import { FittedLine } from "./FittedLine";

/** A role with its lines. */
export interface RoleCapacity {
    /** The role's name. */
    title: string;
    /** The state that the role holds, a sentence each. */
    state: readonly string[];
    /** Whether the instance is set aside for control, so that the budget of a node does not bind it. */
    isDedicatedInstance: boolean;
    /** The lines. */
    lines: readonly CapacityLine[];
    /** The fits that gave slopes, with the point that checks each. */
    fits: readonly FittedLine[];
}
