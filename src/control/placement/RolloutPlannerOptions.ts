/*
 * The options of `createRolloutPlanner`.
 */
import { Logger } from "../../logging";
import { Directory } from "../../membership";
import { Order } from "../../protocol";
import { Clock } from "../../runtime";
import { ControlClient } from "../ControlClient";
import { RolloutReader } from "./RolloutReader";
import { RolloutTargets } from "./RolloutTargets";
import { RolloutTiming } from "./RolloutTiming";

/** The dependencies and timing of a rollout planner. */
export interface RolloutPlannerOptions {
    /** The committed rollouts, as applied at this control member. */
    rollouts: RolloutReader;
    /** Gets the rollout targets of the configuration, as applied at this control member. */
    getTargets(): RolloutTargets;
    /** The directory, whose records describe the sidecars. */
    directory: Pick<Directory, "getRecords">;
    /** The client that commits the commands of the planner. */
    control: ControlClient;
    /** Sends an order to its sidecar, through whichever member holds its session. A lost order is sent again. */
    sendOrder(order: Order): void;
    /** The clock for delays and deadlines. */
    clock: Clock;
    /** The logger for steps and planning failures. */
    logger: Logger;
    /** Timing that differs from `defaultRolloutTiming`. */
    timing?: Partial<RolloutTiming>;
}
