/*
 * What the run of a stream delivers.
 */
import { HttpResponseHead } from "./HttpResponseHead";
import { Refusal } from "./Refusal";
import { StreamEvent } from "./StreamEvent";

/** An event, or an end of the stream. */
export type StreamValue =
    | { kind: "event"; head: HttpResponseHead; event: StreamEvent; softwareVersion: string; }
    /** The stream is complete; some bytes may follow its last event. */
    | { kind: "end"; head: HttpResponseHead; bytes: Uint8Array; instanceId: string; }
    /** A whole response that is no stream. */
    | { kind: "response"; head: HttpResponseHead; body: Uint8Array; instanceId: string; }
    | { kind: "refused"; refusal: Refusal; }
    /** No further event will follow, after some were passed on. */
    | { kind: "brokenOff"; reason: string; instanceId: string; };
