/*
 * The platform's list of backend servers, behind whatever protocol the platform speaks.
 */
import { FleetInstance } from "../protocol";

/** Reads the list of backend servers. */
export interface FleetListClient {
    /**
     * Reads the whole list.
     * @returns The entries that could be read, or undefined where the list as a whole could not be had.
     */
    getInstances(signal: AbortSignal): Promise<readonly FleetInstance[] | undefined>;
}
