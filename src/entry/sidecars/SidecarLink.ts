/*
 * How an entry speaks with sidecars.
 */
import { DispatchRequest, FencingNumber, ForbidAttemptResponse, ResumeRequest } from "../../protocol";
import { LinkEvent } from "./LinkEvent";

/** Calls sidecars; what goes wrong with a call is a value. */
export interface SidecarLink {
    /** Dispatches an attempt to the sidecar at an address. */
    dispatch(address: string, request: DispatchRequest, signal: AbortSignal): AsyncGenerator<LinkEvent>;
    /** Goes on with an attempt's answer. */
    resume(address: string, request: ResumeRequest, signal: AbortSignal): AsyncGenerator<LinkEvent>;
    /** Forbids a claim's number, or learns what is known of it; undefined where no answer came in time. */
    forbid(
        address: string,
        claim: FencingNumber,
        sidecarIncarnation: string,
    ): Promise<ForbidAttemptResponse | undefined>;
    /** Gives an attempt up, without waiting for an answer. */
    cancel(address: string, requestId: string, attempt: number): void;
}
