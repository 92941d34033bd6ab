/*
 * Whether backend servers that owe answers still live.
 */
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";

/** Follows the signs of life of backend servers. */
export interface LivenessMonitor {
    /** Notes an attempt that is sent, from which on an answer is owed. */
    recordSent(instance: FleetInstance, service: BackendService): void;
    /** Notes any sign of life. */
    recordActivity(instanceId: string): void;
    /** Notes that an attempt has ended. */
    recordAttemptEnd(instanceId: string): void;
    /** Tells whether a backend server is held to be dead. */
    isUnresponsive(instanceId: string): boolean;
    /** Gets a signal that is aborted once the backend server is held to be dead. */
    getUnresponsiveSignal(instanceId: string): AbortSignal;
}
