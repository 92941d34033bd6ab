/*
 * Declares the order in which a process connects to control members.
 */
import { StreamEnd } from "./StreamEnd";

/** A random order of the control members, shuffled again after all have been tried. */
export interface MemberRotation {
    /** Gets the address of the next member. */
    getNext(): string;
    /**
     * Gets how long to wait before the next member is tried, in milliseconds.
     * @param end - How the last stream ended.
     */
    getDelayMilliseconds(end: StreamEnd): number;
}
