/*
 * What the task that reads the platform's list is made of.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { FleetBoard } from "./FleetBoard";
import { FleetList } from "./FleetList";

/** The options of the task. */
export interface FleetTaskOptions {
    /** The list. */
    list: FleetList;
    /** What the list updates. */
    board: FleetBoard;
    /** Whether this process leads; only the leader reads the list. */
    isLeader(): boolean;
    /** How often the list is read, in milliseconds. */
    intervalMilliseconds: number;
    /** The passing of time. */
    clock: Clock;
    /** Where a lost or regained list is logged. */
    logger: Logger;
    /** Ends the task. */
    signal: AbortSignal;
}
