/*
 * What became of the attempts for one answer.
 */
import { FleetInstance } from "../protocol";
import { BackendAnswer } from "./BackendAnswer";
import { Refusal } from "./Refusal";

/** The outcome of a series of attempts. */
export type OpenOutcome =
    | { kind: "opened"; instance: FleetInstance; answer: Extract<BackendAnswer, { kind: "answered"; }>; }
    | { kind: "givenUp"; refusal: Refusal; };
