/*
 * The load that other entry processes have caused, at an entry process.
 */
import { ServerLoad } from "./ServerLoad";

/** Shares the load of engines among entry processes. */
export interface FleetLoads {
    /**
     * Gets the load that the others had caused when it was reported last; undefined where that is not known.
     * @param instanceId - The engine.
     */
    getOthers(instanceId: string): (ServerLoad & { ageMilliseconds: number; }) | undefined;
    /**
     * Reports the load that this entry process has caused.
     * @param loads - The engines with requests in flight.
     */
    reportOwn(loads: readonly ServerLoad[]): void;
}
