/*
 * A call to a plain service, which is a backend server that is no model engine.
 */
import { Header } from "../protocol";

/** A call to a plain service that the caller is allowed to make. */
export interface ServiceCall {
    /** The service's name. */
    service: string;
    /** The HTTP method. */
    method: string;
    /** The path within the service, with its query string. */
    path: string;
    /** The request headers that are forwarded. */
    headers: readonly Header[];
    /** The request body. */
    body: Uint8Array;
    /** Whether the call is idempotent and may be repeated. */
    isIdempotent: boolean;
}
