/*
 * The ended attempts that are still retained.
 */
import { Attempt } from "./Attempt";

/** Retains ended attempts for a limited time. */
export interface EndedAttempts {
    /** Adds an attempt that has just ended. */
    addAttempt(attempt: Attempt): void;
    /** Removes the attempts whose retention time is over, and the oldest beyond the byte limit. */
    evictExpired(): void;
    /** Gets the number of retained attempts. */
    getSize(): number;
}
