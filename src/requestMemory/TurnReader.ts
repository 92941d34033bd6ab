/*
 * What reads a connection in turns with others.
 */

/** The reader of a connection. */
export interface TurnReader {
    /** Stops or resumes reading. */
    setPaused(isPaused: boolean): void;
    /** Refuses the request whose body arrives, if there is one. */
    refuse(): void;
}
