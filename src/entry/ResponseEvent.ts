/*
 * The events that make up the response to one request, over all of its attempts.
 */
import { End, Header } from "../protocol";
import { Refusal } from "./Refusal";

/** One event of a response; the last event is `end` or `refused`. */
export type ResponseEvent =
    /** A backend server has started to run the request. */
    | { kind: "started"; instanceId: string; version: string; }
    /** The next part of a completion's text. */
    | { kind: "text"; text: string; tokens: number; }
    /** The HTTP status and headers of a plain service's response. */
    | { kind: "head"; status: number; headers: readonly Header[]; }
    /** The next part of a plain service's response body. */
    | { kind: "body"; data: Uint8Array; }
    /** The response is complete. */
    | { kind: "end"; end: End; }
    /** The request was refused, or the response ends before it is complete. */
    | { kind: "refused"; refusal: Refusal; };
