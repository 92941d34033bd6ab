/*
 * One attempt of a request at one backend server.
 */
import { FleetInstance } from "../protocol";
import { CacheUse } from "./CacheUse";
import { ForwardedRequest } from "./ForwardedRequest";

/** What is sent, to which backend server and under which conditions. */
export interface BackendAttempt {
    /** The caller's request. */
    request: ForwardedRequest;
    /** The backend server; a different instance at its address must not run the request. */
    instance: FleetInstance;
    /** The maximum number of connections that this process may hold to the backend server. */
    maximumConnections: number;
    /** The name of the workspace that holds the caller's key. */
    workspace: string | undefined;
    /** The time left for the backend server to respond, in milliseconds. */
    remainingMilliseconds: number;
    /** The priority of the request at an engine; 0 is the most urgent. */
    priority: number;
    /** How the request uses the cache of an engine. */
    cache: CacheUse;
    /** The last event that the caller has received, where a stream is resumed. */
    lastEventId: string | undefined;
    /** Ends the attempt and the work at the backend server. */
    signal: AbortSignal;
    /** Also ends the attempt: aborted once the backend server is known to have ended. */
    goneSignal: AbortSignal;
    /** Called whenever something is received from the backend server. */
    onActivity(): void;
}
