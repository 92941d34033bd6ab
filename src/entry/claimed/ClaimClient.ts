/*
 * The interface through which an entry process opens and settles claims in the replicated log.
 */
import { Claim, ClaimState, FencingNumber, ProcessRecord, StoredAnswer } from "../../protocol";
import { AdmittedRequest } from "../AdmittedRequest";
import { OpenClaimOutcome } from "./OpenClaimOutcome";

/** Opens and settles claims through the control members. */
export interface ClaimClient {
    /**
     * Opens a claim, or the next attempt of a claim that is already open. Retries until the request's deadline, but for
     * 5 seconds at most.
     * @param request - The request that the claim is for.
     * @param idempotencyKey - The key that identifies the request within its workspace.
     * @param sidecar - The sidecar that is to run the request; undefined only looks up the key.
     * @param forbidden - The fencing token of the previous attempt, which is proved never to run; undefined for none.
     * @returns The outcome; a failure to reach the control members is the outcome "unavailable", not an exception.
     */
    open(
        request: AdmittedRequest,
        idempotencyKey: string,
        sidecar: ProcessRecord | undefined,
        forbidden: FencingNumber | undefined,
    ): Promise<OpenClaimOutcome>;
    /**
     * Records a claim's outcome. Retries until the timeout if the control members do not commit it.
     * @param claim - The claim, with the fencing token of the attempt that ended.
     * @param state - The outcome to record.
     * @param response - The response to store for later deliveries; undefined for none.
     * @param timeoutMilliseconds - How long to retry; 30 seconds by default.
     * @returns The claim after the command; undefined if it was not committed or there is no such claim.
     */
    settle(
        claim: Claim,
        state: ClaimState,
        response?: StoredAnswer,
        timeoutMilliseconds?: number,
    ): Promise<Claim | undefined>;
}
