/*
 * Admission control: limits the requests that an entry process handles at the same time.
 */
import { Priority } from "../../protocol";

/** Admits requests by priority and by the capacity that they need. */
export interface AdmissionGate {
    /**
     * Reserves capacity for a request.
     * @param priority - The request's priority; less urgent requests may use a smaller share of the capacity.
     * @param reservedBytes - The number of bytes to reserve for the body.
     * @returns The function that releases the capacity; undefined where there is not enough.
     */
    tryAcquire(priority: Priority, reservedBytes: number): (() => void) | undefined;
    /** Gets the used share of the capacity, from 0 to 1. */
    getUtilization(): number;
}
