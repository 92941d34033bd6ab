/*
 * The final outcome of a forwarded request.
 */
import { Refusal } from "./Refusal";

/** How a request ended; the kinds name what the caller got. */
export type ForwardOutcome =
    | { kind: "answered"; status: number; instanceId: string; }
    | { kind: "refused"; refusal: Refusal; }
    | { kind: "brokenOff"; reason: string; instanceId: string; }
    | { kind: "callerLeft"; };
