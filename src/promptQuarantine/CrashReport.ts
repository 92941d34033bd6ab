/*
 * What an entry process reports to control members about crashes of engines.
 */
import { CrashObservation } from "./CrashObservation";

/** A report, which replaces the entry process's former one. */
export interface CrashReport {
    /** The recent crashes. */
    observations: readonly CrashObservation[];
    /**
     * How long ago requests ran to their end, in milliseconds, by the id of a part that may have caused crashes.
     */
    completions: ReadonlyMap<string, readonly number[]>;
}
