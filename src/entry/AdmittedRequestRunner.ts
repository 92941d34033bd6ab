/*
 * Runs admitted requests, with further attempts where one fails.
 */
import { AdmittedRequest } from "./AdmittedRequest";
import { ResponseEvent } from "./ResponseEvent";

/** Runs admitted requests by dispatching them to sidecars. */
export interface AdmittedRequestRunner {
    /**
     * Runs a request.
     * @param request - The admitted request.
     * @param signal - Aborted when the caller has disconnected.
     * @returns The events of the response; the last event is `end` or `refused`.
     */
    run(request: AdmittedRequest, signal: AbortSignal): AsyncIterable<ResponseEvent>;
}
