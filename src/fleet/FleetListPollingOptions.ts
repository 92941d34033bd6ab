/*
 * The options of the task that polls the platform's list.
 */
import { Logger } from "../logging";
import { Clock } from "../runtime";
import { FleetListClient } from "./FleetListClient";
import { FleetTracker } from "./FleetTracker";

/** The options of the polling task. */
export interface FleetListPollingOptions {
    /** Reads the list. */
    listClient: FleetListClient;
    /** The view that the list updates. */
    fleetTracker: FleetTracker;
    /** Checks whether this process is the leader; only the leader reads the list. */
    isLeader(): boolean;
    /** The pause between two readings of the list, in milliseconds. */
    intervalMilliseconds: number;
    /** Provides the pauses between readings. */
    clock: Clock;
    /** Logs when the list becomes unavailable or available again. */
    logger: Logger;
    /** Stops the task. */
    signal: AbortSignal;
}
