/*
 * The outcome of dispatching a request.
 */
import { FleetInstance } from "../protocol";
import { AttemptResult } from "./AttemptResult";
import { Refusal } from "./Refusal";

/** The outcome of a series of attempts: a response whose body can be read, or the reason why there is none. */
export type DispatchOutcome =
    | { kind: "opened"; instance: FleetInstance; response: Extract<AttemptResult, { kind: "answered"; }>; }
    | { kind: "givenUp"; refusal: Refusal; };
