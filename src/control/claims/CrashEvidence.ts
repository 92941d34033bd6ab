/*
 * The record of which requests may have caused which engine crashes. A request is identified by its fingerprint: the
 * digest of workspace and body, in hexadecimal.
 */
import { UnexplainedCrash } from "../../protocol";

/** Unexplained crashes, each with its candidates: the requests in flight that may have caused it. */
export interface CrashEvidence {
    /** Adds a crash and the requests that were in flight at it. */
    addCrash(crash: UnexplainedCrash): void;
    /** Counts the unexplained crashes that a request is a candidate of. */
    getCrashCount(fingerprint: string): number;
    /** Returns whether a request is a suspect: in flight at one crash with few others, or at several crashes. */
    isSuspect(fingerprint: string): boolean;
    /** Removes a request from the candidates of all crashes so far, since it has completed or was released. */
    clearSuspicion(fingerprint: string): void;
    /** Removes every crash that a request was in flight at, since its conviction explains them. */
    convict(fingerprint: string): void;
    /** Discards the crashes before a time, in milliseconds since the epoch. */
    discardBefore(timeMilliseconds: number): void;
    /** Gets the fingerprints of the candidates of all crashes. */
    getCandidates(): Iterable<string>;
    /** Gets the unexplained crashes, oldest first. */
    getCrashes(): readonly UnexplainedCrash[];
    /** Replaces all crashes by those of a snapshot. */
    restoreCrashes(crashes: readonly UnexplainedCrash[]): void;
}
