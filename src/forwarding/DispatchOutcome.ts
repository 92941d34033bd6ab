/*
 * What became of the attempts for one answer.
 */
import { FleetInstance } from "../protocol";
import { AttemptResult } from "./AttemptResult";
import { Refusal } from "./Refusal";

/** The outcome of a series of attempts. */
export type DispatchOutcome =
    | { kind: "opened"; instance: FleetInstance; response: Extract<AttemptResult, { kind: "answered"; }>; }
    | { kind: "givenUp"; refusal: Refusal; };
