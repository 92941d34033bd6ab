/*
 * The result of checking a completion request.
 */
import { CompletionRequest } from "./CompletionRequest";
import { Refusal } from "./Refusal";

/** The checked request, or the refusal of an invalid one. */
export type ParseCompletionOutcome =
    | { kind: "parsed"; request: CompletionRequest; }
    | { kind: "refused"; refusal: Refusal; };
