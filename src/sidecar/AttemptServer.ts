/*
 * The calls that a sidecar serves to entry processes.
 */
import type { HandlerContext } from "@connectrpc/connect";
import {
    CancelRequest,
    CancelResponse,
    DispatchEvent,
    DispatchRequest,
    ForbidAttemptRequest,
    ForbidAttemptResponse,
    ResumeRequest,
} from "../protocol";

/** Runs attempts, streams their events and reports on their state. */
export interface AttemptServer {
    /** Runs one attempt and streams its events. */
    dispatch(request: DispatchRequest, context: Pick<HandlerContext, "signal">): AsyncGenerator<DispatchEvent>;
    /** Resumes an attempt's event stream on another connection. */
    resume(request: ResumeRequest, context: Pick<HandlerContext, "signal">): AsyncGenerator<DispatchEvent>;
    /** Forbids a claim's fencing token that has not been seen, or reports the state of its attempt. */
    forbidAttempt(request: ForbidAttemptRequest): ForbidAttemptResponse;
    /** Cancels an attempt. */
    cancel(request: CancelRequest): CancelResponse;
    /** Counts the running attempts, the open event streams and the claims being settled. */
    getInFlightCount(): number;
}
