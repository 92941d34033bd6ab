/*
 * The attempts that have ended and are still remembered.
 */
import { Attempt } from "./Attempt";

/** Remembers ended attempts for a time. */
export interface EndedAttempts {
    /** Remembers an attempt from now on. */
    addAttempt(attempt: Attempt): void;
    /** Forgets those whose time is over, and the oldest beyond the bytes allowed. */
    evictExpired(): void;
    /** Gets how many are remembered. */
    getSize(): number;
}
