/*
 * Observes the crashes of backend servers at an entry process.
 */
import { BackendService } from "../documents";
import { FleetInstance } from "../protocol";
import { CrashObservation } from "./CrashObservation";
import { ObservedRun } from "./ObservedRun";
import { RunSubjects } from "./RunSubjects";

/** Follows the runs of an entry process at backend servers. */
export interface CrashObserver {
    /**
     * Begins a run.
     * @param instance - The backend server.
     * @param service - The service that it belongs to.
     * @param subjects - What in the request may crash the backend server.
     */
    beginRun(instance: FleetInstance, service: BackendService, subjects: RunSubjects): ObservedRun;
    /** Gets the recent crashes. */
    getObservations(): readonly CrashObservation[];
    /**
     * Gets how long ago requests ran to their end, in milliseconds, for those of the subjects with which at least one did.
     * @param subjectIds - The ids of the subjects.
     */
    getCompletions(subjectIds: Iterable<string>): ReadonlyMap<string, readonly number[]>;
}
