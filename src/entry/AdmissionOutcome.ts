/*
 * What became of a request's admission.
 */
import { AdmittedRequest } from "./AdmittedRequest";
import { Refusal } from "./Refusal";

/** The outcome of admission. */
export type AdmissionOutcome = { kind: "admitted"; request: AdmittedRequest; } | { kind: "refused"; refusal: Refusal; };
