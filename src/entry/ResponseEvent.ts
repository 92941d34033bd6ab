/*
 * The answer to one request, whichever attempts it took.
 */
import { End, Header } from "../protocol";
import { Refusal } from "./Refusal";

/** One event of a request's answer; the last is `end` or `refused`. */
export type ResponseEvent =
    /** A backend server has taken the request. */
    | { kind: "started"; instanceId: string; version: string; }
    /** The next part of a completion's text. */
    | { kind: "text"; text: string; tokens: number; }
    /** A plain service's status and headers. */
    | { kind: "head"; status: number; headers: readonly Header[]; }
    /** The next part of a plain service's body. */
    | { kind: "body"; data: Uint8Array; }
    /** The answer is whole. */
    | { kind: "end"; end: End; }
    /** There is no answer, or no more of it. */
    | { kind: "refused"; refusal: Refusal; };
