/*
 * The runs at backend servers and the responses to callers, checked against the system's guarantees.
 */

import { CrashingSubject } from "./CrashingSubject";
import { ArrivalTracker } from "./createArrivalTracker";

/** Records what is observed from outside the system, and the guarantees that are broken. */
export interface RunTracker extends Pick<ArrivalTracker, "recordRequest" | "recordArrival" | "getBudgetShare"> {
    /**
     * Records that a backend server starts to run a request.
     * @param requestId - The request's id, which starts with when it was sent in milliseconds since the epoch, and a hyphen.
     * @param workspace - The workspace for which it runs.
     * @param isBehind - Whether it may have arrived late because of the server's silence.
     */
    recordRun(requestId: string, workspace: string, isBehind: boolean): void;
    /**
     * Records the salt of a request to an engine, which must have one, and may share it with an isolated workspace only within
     * that workspace.
     * @param requestId - The request's id.
     * @param workspace - The workspace for which it runs.
     * @param salt - The salt; undefined for none.
     */
    recordSalt(requestId: string, workspace: string, salt: string | undefined): void;
    /** Records that the caller of a request has left. */
    recordLeaving(requestId: string): void;
    /** Records that a request is sent that must not run more than once. */
    recordSingleRunRequest(requestId: string): void;
    /** Records that a response reported that the request has not run and will not run. */
    recordReportedNotRun(requestId: string): void;
    /**
     * Records that the key of a workspace was revoked.
     * @param workspace - The workspace.
     * @param fromMilliseconds - No request sent after this may run, in milliseconds since the epoch.
     */
    recordRevocation(workspace: string, fromMilliseconds: number): void;
    /**
     * Records that the response to a request ended early without a reason; that is a breach where the request has run.
     * @param requestId - The request's id.
     * @param status - The status that its caller got; 0 for none.
     */
    recordCut(requestId: string, status: number): void;
    /** Records that a backend server breaks off the response to a request. */
    recordBrokenOff(requestId: string): void;
    /** Returns whether a backend server has broken off a response to a request. */
    wasBrokenOff(requestId: string): boolean;
    /** Records that a request that crashes backend servers reaches one. */
    recordCrashingArrival(subject: CrashingSubject, requestId: string): void;
    /** Records that a subject has crashed a backend server. */
    recordCrash(subject: CrashingSubject): void;
    /**
     * Sets what tells whether nothing unplanned happens or happened a moment ago; arrivals count only then.
     * @param isStable - Returns whether the deployment is stable.
     */
    setStabilityCheck(isStable: () => boolean): void;
    /** Returns whether nothing unplanned happens or happened a moment ago. */
    isStable(): boolean;
    /** Gets how many times a request ran. */
    getRunCount(requestId: string): number;
    /** Records a broken guarantee. */
    addBreach(text: string): void;
    /** Gets all broken guarantees, including those that are found only now: repeated runs and wrong reports. */
    getBreaches(): readonly string[];
}
