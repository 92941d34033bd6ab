/*
 * The limits that backend servers name, at an entry process.
 */
import { LimitStatement } from "./LimitStatement";
import { RequestLimit } from "./RequestLimit";

/** Keeps the entry process's share of each backend server's limit. */
export interface ServerLimits {
    /**
     * Records what a backend server has named with a response.
     * @param instanceId - The backend server.
     * @param limit - The limit.
     */
    recordLimit(instanceId: string, limit: RequestLimit): void;
    /**
     * Gets how long a request to a backend server must wait for its limit, in milliseconds; 0 where it may be sent now.
     * @param instanceId - The backend server.
     */
    getWaitMilliseconds(instanceId: string): number;
    /**
     * Takes a request from the share of a backend server's limit.
     * @param instanceId - The backend server.
     * @returns Whether the request may be sent now.
     */
    tryTake(instanceId: string): boolean;
    /**
     * Returns a request that was taken and not sent.
     * @param instanceId - The backend server.
     */
    giveBack(instanceId: string): void;
    /** Gets what is reported to control members with each poll. */
    getStatements(): readonly LimitStatement[];
}
