/*
 * A simulated backend server of a soak.
 */

import { SoakProxy } from "./startSoakProxy";

/** A stand-in for an engine or for a plain service. */
export interface SoakBackend {
    /** The first part of its instance ids. */
    readonly name: string;
    /** The service that it belongs to. */
    readonly service: string;
    /** The proxy in front of it, under whose address it is listed. */
    readonly proxy: SoakProxy;
    /** Gets the backend server's entry of the platform's list. */
    getListEntry(): object;
    /**
     * Neither reads nor writes on any connection for some time, and then goes on without having lost anything.
     * @param milliseconds - How long.
     */
    fallSilent(milliseconds: number): Promise<void>;
    /** Makes it fail a share of the requests that it runs, other than those that crash it. */
    setFailingShare(share: number): void;
    /** Resets all connections, drops its orders and continues under a new instance id. */
    crash(): void;
    /** Refuses requests until it has answered those that it runs, then closes its connections and continues under a new id. */
    restart(): Promise<void>;
    /** Closes all connections and stops listening. */
    stop(): void;
}
