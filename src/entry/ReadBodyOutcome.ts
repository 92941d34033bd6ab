/*
 * The result of reading a request's body.
 */
import { Refusal } from "./Refusal";

/** The complete body, or the refusal of a body that is too large or incomplete. */
export type ReadBodyOutcome = { kind: "read"; body: Buffer; } | { kind: "refused"; refusal: Refusal; };
