/*
 * The interface through which an entry process calls sidecars.
 */
import { DispatchRequest, FencingNumber, ForbidAttemptResponse, ResumeRequest } from "../../protocol";
import { LinkEvent } from "./LinkEvent";

/** Calls sidecars. A failed call is returned as a value, not thrown. */
export interface SidecarLink {
    /**
     * Dispatches an attempt to the sidecar at an address.
     * @param address - The sidecar's internal address.
     * @param request - The message that starts the attempt.
     * @param signal - Ends the call.
     */
    dispatch(address: string, request: DispatchRequest, signal: AbortSignal): AsyncGenerator<LinkEvent>;
    /**
     * Resumes an attempt's response.
     * @param address - The sidecar's internal address.
     * @param request - The attempt, and the sequence number of the next event.
     * @param signal - Ends the call.
     */
    resume(address: string, request: ResumeRequest, signal: AbortSignal): AsyncGenerator<LinkEvent>;
    /**
     * Forbids a fencing token that the sidecar has not seen, or gets the state of the attempt that runs under it.
     * @param address - The sidecar's internal address.
     * @param claim - The claim's fencing token.
     * @param sidecarIncarnation - The incarnation that the claim was opened for.
     * @returns The state; undefined if the call failed or there was no response within a second.
     */
    forbid(
        address: string,
        claim: FencingNumber,
        sidecarIncarnation: string,
    ): Promise<ForbidAttemptResponse | undefined>;
    /** Cancels an attempt, without waiting for a response. */
    cancel(address: string, requestId: string, attempt: number): void;
}
