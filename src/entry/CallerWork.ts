/*
 * The work that a caller's request asks for.
 */
import { CompletionRequest } from "./CompletionRequest";
import { ServiceCall } from "./ServiceCall";

/** The checked completion request or service call of a caller. */
export type CallerWork =
    | { kind: "completion"; request: CompletionRequest; }
    | { kind: "service"; call: ServiceCall; };
