/*
 * What a sidecar does for entries.
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

/** Runs attempts and answers for them. */
export interface AttemptServer {
    /** Runs one attempt and streams its answer. */
    dispatch(request: DispatchRequest, context: Pick<HandlerContext, "signal">): AsyncGenerator<DispatchEvent>;
    /** Goes on with an attempt's answer on another connection. */
    resume(request: ResumeRequest, context: Pick<HandlerContext, "signal">): AsyncGenerator<DispatchEvent>;
    /** Forbids a claim's number that has not been seen. */
    forbidAttempt(request: ForbidAttemptRequest): ForbidAttemptResponse;
    /** Gives an attempt up. */
    cancel(request: CancelRequest): CancelResponse;
    /** Gets how many attempts run or are being answered. */
    getInFlightCount(): number;
}
