/*
 * Stops and resumes the reading of a connection.
 */
import { ReadPause } from "./ReadPause";

/** The gate of one connection, which is read while there is no reason to pause it. */
export interface ReadGate {
    /** Stops reading; what has been read already is still parsed. */
    pause(reason: ReadPause): void;
    /** Reads again unless there is another reason to pause. */
    resume(reason: ReadPause): void;
    /** Returns whether it is paused for a reason. */
    isPaused(reason: ReadPause): boolean;
    /** Leaves the connection to others for good; it is never paused here again. */
    release(): void;
}
