/*
 * Monitors whether backend servers with attempts in flight still respond.
 */
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";

/** Detects unresponsive backend servers. */
export interface LivenessMonitor {
    /** Records that an attempt was sent; until it ends, activity of the backend server is expected. */
    recordSent(instance: FleetInstance, service: BackendService): void;
    /** Records that something was received from a backend server. */
    recordActivity(instanceId: string): void;
    /** Records that an attempt has ended. */
    recordAttemptEnd(instanceId: string): void;
    /** Returns whether a backend server is considered unresponsive, by this entry process or another one. */
    isUnresponsive(instanceId: string): boolean;
    /** Returns whether a backend server is silent, and has not responded to this entry process's probe yet. */
    isProbed(instanceId: string): boolean;
    /** Gets a signal that is aborted once this entry process considers the backend server unresponsive. */
    getUnresponsiveSignal(instanceId: string): AbortSignal;
    /**
     * Gets a signal that is aborted once the backend server is known to be gone, since another instance
     * has answered a probe at its address; neither silence nor refused connections abort it.
     */
    getGoneSignal(instanceId: string): AbortSignal;
}
