/*
 * Declares what a directory depends on.
 */
import { Clock } from "../runtime";

/** The options of a directory. */
export interface DirectoryOptions {
    /** The process's clock. */
    clock: Clock;
}
