/*
 * An entry process's view of the speed of backend servers.
 */
import { ServerSpeed } from "./ServerSpeed";
import { SpeedEvidence } from "./SpeedEvidence";

/** Estimates how long work takes at backend servers. */
export interface ServerSpeeds {
    /**
     * Records a report; one that is not plausible is ignored.
     * @param instanceId - The backend server.
     * @param workPercent - How long work takes there, in percent of the usual time.
     */
    recordReport(instanceId: string, workPercent: number): void;
    /**
     * Gets the speed of a backend server; undefined where there are no recent reports.
     * @param instanceId - The backend server.
     * @param others - The evidence of the other entry processes at an earlier time, with the age of the load sums.
     */
    getSpeed(
        instanceId: string,
        others?: SpeedEvidence & { ageMilliseconds: number; },
    ): ServerSpeed | undefined;
    /** Gets the evidence of this entry process's reports; undefined where there are no recent ones. */
    getOwnEvidence(instanceId: string): SpeedEvidence | undefined;
    /** Gets the ids of the backend servers with recent reports. */
    getReportedIds(): readonly string[];
}
