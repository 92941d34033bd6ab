/*
 * How the handling of a request ended.
 */
import { Refusal } from "./Refusal";

/** The end of a request. */
export type ForwardOutcome =
    | { kind: "answered"; status: number; instanceId: string; }
    | { kind: "refused"; refusal: Refusal; }
    | { kind: "brokenOff"; reason: string; instanceId: string; }
    | { kind: "callerLeft"; };
