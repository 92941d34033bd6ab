/*
 * The limits that backend servers name, at an entry process.
 */
import { RequestLimit } from "./RequestLimit";

/** Knows the newest limit of each backend server. */
export interface ServerLimits {
    /**
     * Records what a backend server has named with a response.
     * @param instanceId - The backend server.
     * @param limit - The limit.
     */
    recordLimit(instanceId: string, limit: RequestLimit): void;
}
