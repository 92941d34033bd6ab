/*
 * What the task that reads the platform's list is made of.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { FleetListClient } from "./FleetListClient";
import { FleetTracker } from "./FleetTracker";

/** The options of the task. */
export interface FleetListPollingOptions {
    /** The list. */
    listClient: FleetListClient;
    /** What the list updates. */
    fleetTracker: FleetTracker;
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
