/*
 * A caller's request as the forwarder handles it.
 */
import { PromptDescriptor } from "./PromptDescriptor";

/** A request whose body is passed on without being parsed. */
export interface ForwardedRequest {
    /** The id that the caller gave this request; a retry by the caller has a different one. */
    requestId: string;
    /** The HTTP method. */
    method: string;
    /** The path with its query, as the caller sent it. */
    target: string;
    /** The host that the caller addressed, without a port. */
    host: string;
    /** The path without its query. */
    path: string;
    /** The headers that are passed on, names and values in turn. */
    headers: readonly string[];
    /** The whole body. */
    body: Uint8Array;
    /** The caller's API key. */
    apiKey: string | undefined;
    /** How long the caller waits for the response, in milliseconds; undefined where the request does not say. */
    callerMilliseconds: number | undefined;
    /** The caller's description of the prompt; undefined for requests without one. */
    prompt: PromptDescriptor | undefined;
    /** The prompt tokens and the maximum tokens of the response together; undefined where the request does not state them. */
    quotaTokens?: number | undefined;
    /** The last event that the caller has received, where it resumes a stream. */
    lastEventId: string | undefined;
    /** The id of the caller's request that brought the first event of the stream, where it resumes one. */
    resumedRequestId: string | undefined;
    /** When the request's head was received, on the monotonic clock, in milliseconds. */
    arrivalMilliseconds: number;
    /**
     * How long the caller's connection had been open when the head was received, in milliseconds; undefined where the
     * connection has carried a request before.
     */
    connectionMilliseconds: number | undefined;
    /** Aborted once the caller has disconnected. */
    signal: AbortSignal;
}
