/*
 * Prevents requests that crash engines from doing so again.
 */
import { AdmittedRequest } from "../AdmittedRequest";
import { QuarantineDecision } from "./QuarantineDecision";

/** Decides whether and how a request runs, by the evidence that all entry processes share. */
export interface QuarantineGate {
    /**
     * Decides how a request may run; waits where another delivery of the request has the trial.
     * @param request - The admitted request.
     * @param crashCount - The number of engine crashes during its attempts so far.
     * @param signal - Ends the wait.
     */
    check(request: AdmittedRequest, crashCount: number, signal: AbortSignal): Promise<QuarantineDecision>;
    /**
     * Reports the end of a request that was in flight during a crash or had a trial.
     * @param request - The admitted request.
     * @param isCompleted - Whether it was completed, which clears it of suspicion.
     */
    endTrial(request: AdmittedRequest, isCompleted: boolean): void;
}
