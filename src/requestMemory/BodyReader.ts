/*
 * What reads a body into memory that it shares with others.
 */

/** The reader of a body, which the memory calls. */
export interface BodyReader {
    /** Tells that the bytes which it waits for are reserved now. */
    grant(): void;
    /** Refuses the body, whose memory has been freed. */
    refuse(reason: "overloaded" | "timedOut"): void;
}
