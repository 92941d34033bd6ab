/*
 * Keeps an entry from taking more than it can hold.
 */
import { Priority } from "../../protocol";

/** Lets requests in by what they cost and how urgent they are. */
export interface AdmissionGate {
    /**
     * Lets a request in.
     * @param reservedBytes - How many bytes the request will hold.
     * @returns A function to call when the request has ended; undefined where there is no room.
     */
    tryAcquire(priority: Priority, reservedBytes: number): (() => void) | undefined;
    /** Gets how full the entry is, from 0 to 1. */
    getUtilization(): number;
}
