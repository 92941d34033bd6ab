/*
 * What an entry process reports to control members about crashes of backend servers.
 */
import { CrashObservation } from "./CrashObservation";

/** What the entry process knows; control members also keep what it has forgotten since. */
export interface CrashReport {
    /** Differs after each start of the entry process. */
    incarnation: string;
    /** The recent crashes. */
    observations: readonly CrashObservation[];
    /**
     * How long ago requests ran to their end, in milliseconds, by the id of a subject that may have caused crashes.
     */
    completions: ReadonlyMap<string, readonly number[]>;
}
