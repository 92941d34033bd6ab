/*
 * The capacity of an admission gate.
 */

/** The limits of an admission gate. */
export interface AdmissionLimits {
    /** The maximum number of requests in flight. */
    maximumRequests: number;
    /** The maximum number of bytes of all request bodies in flight. */
    maximumBytes: number;
}
