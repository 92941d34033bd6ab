/*
 * Runs a request, in as many attempts as it takes.
 */
import { AdmittedRequest } from "./AdmittedRequest";
import { AnswerEvent } from "./AnswerEvent";

/** Runs admitted requests at sidecars. */
export interface AttemptRunner {
    /**
     * Runs a request and gives its answer.
     * @param signal - Aborted when the caller has gone.
     */
    run(request: AdmittedRequest, signal: AbortSignal): AsyncIterable<AnswerEvent>;
}
