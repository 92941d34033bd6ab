/*
 * Keeps requests that crash engines from doing so again.
 */
import { AdmittedRequest } from "../AdmittedRequest";
import { QuarantineDecision } from "./QuarantineDecision";

/** Decides whether and how a request runs, by the evidence that all entries share. */
export interface QuarantineGate {
    /**
     * Asks how a request may run.
     * @param crashCount - How many crashes it was in flight at since it came in.
     * @param signal - Ends a wait for another's trial.
     */
    check(request: AdmittedRequest, crashCount: number, signal: AbortSignal): Promise<QuarantineDecision>;
    /**
     * Notes how a request ended that was in flight at a crash or had a trial.
     * @param isCompleted - Whether it was completed, which clears it.
     */
    endTrial(request: AdmittedRequest, isCompleted: boolean): void;
}
