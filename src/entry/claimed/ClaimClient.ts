/*
 * The entry's side of claims in the replicated log.
 */
import { Claim, ClaimState, FencingNumber, ProcessRecord, StoredAnswer } from "../../protocol";
import { AdmittedRequest } from "../AdmittedRequest";
import { OpenClaimOutcome } from "./OpenClaimOutcome";

/** Opens and settles claims. */
export interface ClaimClient {
    /**
     * Opens a claim, or the next attempt of one.
     * @param sidecar - The sidecar that is to run the request; undefined to ask only what is known of the key.
     * @param forbidden - The claim's number that is proved never to run.
     */
    open(
        request: AdmittedRequest,
        idempotencyKey: string,
        sidecar: ProcessRecord | undefined,
        forbidden: FencingNumber | undefined,
    ): Promise<OpenClaimOutcome>;
    /**
     * Records a claim's outcome; tries again for a while where the control members do not answer.
     * @param timeoutMilliseconds - How long it is tried.
     * @returns The claim as it stands now; undefined where the control members did not answer or do not know it.
     */
    settle(
        claim: Claim,
        state: ClaimState,
        response?: StoredAnswer,
        timeoutMilliseconds?: number,
    ): Promise<Claim | undefined>;
}
