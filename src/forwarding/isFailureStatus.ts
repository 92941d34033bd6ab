/*
 * Tells failures of backend servers from responses that another one would give as well.
 */

/** Returns whether an HTTP status states that the backend server failed. */
export function isFailureStatus(status: number): boolean {
    return status >= 500;
}
