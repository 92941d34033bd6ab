/*
 * The lifecycle of one role of a process.
 */
import type { ConnectRouter } from "@connectrpc/connect";

/** A role of a process, which startInstance starts and stops. */
export interface InstanceRole {
    /**
     * Adds the role's services to the listener for other processes.
     * @param router - The router of the listener.
     */
    addServices(router: ConnectRouter): void;
    /**
     * Starts the role, once the listener for other processes is open.
     * @param internalAddress - The listener's address, as `ip:port`.
     */
    start(internalAddress: string): Promise<void>;
    /** Determines whether the role accepts work. */
    isReady(): boolean;
    /** Gets the role's status, as values that can be written as JSON. */
    getStatus(): Readonly<Record<string, unknown>>;
    /** Stops accepting work and waits until the work in flight has ended. */
    drain(): Promise<void>;
    /** Stops the role's tasks and releases its resources, after all roles are drained. */
    stop(): Promise<void>;
}
