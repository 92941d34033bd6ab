/*
 * The result of admission control for one request.
 */
import { AdmittedRequest } from "./AdmittedRequest";
import { Refusal } from "./Refusal";

/** Whether a request may be dispatched, with the checked request or the refusal. */
export type AdmissionOutcome = { kind: "admitted"; request: AdmittedRequest; } | { kind: "refused"; refusal: Refusal; };
