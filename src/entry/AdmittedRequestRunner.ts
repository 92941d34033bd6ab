/*
 * Runs a request, in as many attempts as it takes.
 */
import { AdmittedRequest } from "./AdmittedRequest";
import { ResponseEvent } from "./ResponseEvent";

/** Runs admitted requests at sidecars. */
export interface AdmittedRequestRunner {
    /**
     * Runs a request and gives its answer.
     * @param signal - Aborted when the caller has gone.
     */
    run(request: AdmittedRequest, signal: AbortSignal): AsyncIterable<ResponseEvent>;
}
