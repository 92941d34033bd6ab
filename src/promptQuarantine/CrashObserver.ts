/*
 * Observes the crashes of engines at an entry process.
 */
import { FleetInstance } from "../protocol";
import { CrashObservation } from "./CrashObservation";
import { EngineRun } from "./EngineRun";

/** Follows the runs of an entry process at engines. */
export interface CrashObserver {
    /**
     * Begins a run.
     * @param instance - The engine.
     * @param partIds - The ids of the shared parts of the request's prompt.
     */
    beginRun(instance: FleetInstance, partIds: readonly string[]): EngineRun;
    /** Gets the recent crashes. */
    getObservations(): readonly CrashObservation[];
    /**
     * Gets how long ago requests ran to their end, in milliseconds, for those of the parts with which at least one did.
     * @param partIds - The ids of the parts.
     */
    getCompletions(partIds: Iterable<string>): ReadonlyMap<string, readonly number[]>;
}
