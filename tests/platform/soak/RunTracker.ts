/*
 * What backend servers ran and what callers were told, held against the system's promises.
 */

/** Collects what is seen from outside and the promises that it breaks. */
export interface RunTracker {
    /** Notes that a backend server begins to run a request. */
    recordRun(requestId: string, workspace: string): void;
    /** Notes that a request that may run once is sent. */
    recordSingleRunRequest(requestId: string): void;
    /** Notes that a caller was told that its request has not run and will not. */
    recordReportedNotRun(requestId: string): void;
    /** Notes that a workspace's key was taken away, from when on nothing may run for it. */
    recordRevocation(workspace: string, fromMilliseconds: number): void;
    /** Gets how often a request ran. */
    getRunCount(requestId: string): number;
    /** Notes a promise that was broken. */
    addBreach(text: string): void;
    /** Gets all broken promises, those that show at the end among them. */
    getBreaches(): readonly string[];
}
