/*
 * What a rollout planner works with.
 */
import { Logger } from "../../logging";
import { Directory } from "../../membership";
import { Order } from "../../protocol";
import { Clock } from "../../runtime";
import { ControlClient } from "../ControlClient";
import { RolloutReader } from "./RolloutReader";
import { RolloutTargets } from "./RolloutTargets";
import { RolloutTiming } from "./RolloutTiming";

/** The options of a rollout planner. */
export interface RolloutPlannerOptions {
    /** The committed rollouts, as applied here. */
    rollouts: RolloutReader;
    /** Gets what the configuration wants, as applied here. */
    getTargets(): RolloutTargets;
    /** Which sidecars there are. */
    directory: Pick<Directory, "getRecords">;
    /** Commits the planner's commands. */
    control: ControlClient;
    /** Sends an order to its sidecar, wherever its session is. The order may be lost; it is sent again. */
    sendOrder(order: Order): void;
    /** The passing of time. */
    clock: Clock;
    /** Where steps are logged. */
    logger: Logger;
    /** The planner's times. */
    timing?: Partial<RolloutTiming>;
}
