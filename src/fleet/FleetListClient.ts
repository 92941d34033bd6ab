/*
 * Access to the platform's list of backend servers. The platform implements it in its own protocol.
 */
import { FleetInstance } from "../protocol";

/** Reads the list of backend servers. */
export interface FleetListClient {
    /**
     * Reads the whole list.
     * @param signal - Cancels the reading.
     * @returns The instances whose list entries are valid, or undefined if the list could not be read completely.
     */
    getInstances(signal: AbortSignal): Promise<readonly FleetInstance[] | undefined>;
}
