/*
 * The planner that advances rollouts on the leader of the control members.
 */
import { Stoppable } from "../../runtime";

/** Plans rollouts while its control member is the leader. */
export interface RolloutPlanner extends Stoppable {
    /** Starts planning, when the control member has become the leader. */
    start(): void;
    /** Stops planning, when the control member is no longer the leader. Planning can be started again. */
    stop(): Promise<void>;
}
