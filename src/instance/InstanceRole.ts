/*
 * One role of a process as its assembly sees it.
 */
import type { ConnectRouter } from "@connectrpc/connect";

/** A role between its creation and its end. */
export interface InstanceRole {
    /** Adds the role's services to the listener for other processes. */
    addServices(router: ConnectRouter): void;
    /**
     * Begins the role's work once the listener is open.
     * @param internalAddress - The address that the listener has, as `ip:port`.
     */
    start(internalAddress: string): Promise<void>;
    /** Tells whether the role takes work. */
    isReady(): boolean;
    /** Gets what the role knows of itself, for JSON. */
    getStatus(): Readonly<Record<string, unknown>>;
    /** Finishes what is in flight and takes nothing new. */
    drain(): Promise<void>;
    /** Ends the role's tasks; the listener is closed by then. */
    stop(): Promise<void>;
}
