/*
 * A caller's request as the forwarder sees it.
 */
import { PromptDescriptor } from "./PromptDescriptor";

/** A request whose body is not looked into. */
export interface ForwardedRequest {
    /** The id that the caller gave this request; a retry of the caller's has another one. */
    requestId: string;
    /** The HTTP method. */
    method: string;
    /** The path with its query, as the caller sent it. */
    target: string;
    /** The host that the caller named, without a port. */
    host: string;
    /** The path without its query. */
    path: string;
    /** The headers that are passed on, names and values in turn. */
    headers: readonly string[];
    /** The whole body. */
    body: Uint8Array;
    /** The key that the caller showed. */
    apiKey: string | undefined;
    /** How long the caller waits, in milliseconds; undefined where it does not say. */
    callerMilliseconds: number | undefined;
    /** What the caller says of its prompt; undefined for requests without one. */
    prompt: PromptDescriptor | undefined;
    /** The last event of a stream that the caller goes on with. */
    lastEventId: string | undefined;
    /** When the request's head was read, on the monotonic clock, in milliseconds. */
    arrivalMilliseconds: number;
    /** Aborted once the caller has left. */
    signal: AbortSignal;
}
