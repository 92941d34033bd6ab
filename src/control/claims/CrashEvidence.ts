/*
 * Which requests may have caused which crashes.
 */
import { UnexplainedCrash } from "../../protocol";

/** Crashes whose cause is not known, with the requests that were in flight. */
export interface CrashEvidence {
    /** Adds a crash with those in flight, by fingerprint in hexadecimal. */
    addCrash(crash: UnexplainedCrash): void;
    /** Counts the unexplained crashes that a request was in flight at. */
    getCrashCount(fingerprint: string): number;
    /** Tells whether the evidence points at the request: in flight with few others, or at several crashes. */
    isSuspect(fingerprint: string): boolean;
    /** Notes that the request is not the cause of any crash so far. */
    clearSuspicion(fingerprint: string): void;
    /** Notes that the request is the cause of every crash that it was in flight at, so that nothing else is. */
    convict(fingerprint: string): void;
    /** Forgets crashes from before a time. */
    discardBefore(timeMilliseconds: number): void;
    /** Gets the fingerprints of all candidates. */
    getCandidates(): Iterable<string>;
    /** Gets the crashes, oldest first. */
    getCrashes(): readonly UnexplainedCrash[];
    /** Replaces the crashes. */
    restoreCrashes(crashes: readonly UnexplainedCrash[]): void;
}
