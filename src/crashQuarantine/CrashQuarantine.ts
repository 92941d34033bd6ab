/*
 * The quarantine of subjects that crash backend servers, at an entry process.
 */
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";
import { CrashReport } from "./CrashReport";
import { ObservedRun } from "./ObservedRun";
import { RunSubjects } from "./RunSubjects";

/** Knows the subjects that crash backend servers, and observes crashes. */
export interface CrashQuarantine {
    /**
     * Returns whether a request is refused since one of its subjects crashes backend servers.
     * @param subjects - The subjects of the request.
     */
    isQuarantined(subjects: RunSubjects): boolean;
    /**
     * Returns whether one of a request's subjects may have caused several crashes, so that the request is not sent again
     * once it was lost.
     * @param subjects - The subjects of the request.
     */
    isSuspected(subjects: RunSubjects): boolean;
    /**
     * Begins a run.
     * @param instance - The backend server.
     * @param service - The service that it belongs to.
     * @param subjects - What in the request may crash the backend server.
     */
    beginRun(instance: FleetInstance, service: BackendService, subjects: RunSubjects): ObservedRun;
    /** Gets what the entry process reports to control with each poll. */
    getReport(): CrashReport;
}
