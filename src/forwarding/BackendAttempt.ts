/*
 * One attempt of a request at one backend server.
 */
import { FleetInstance } from "../protocol";
import { ForwardedRequest } from "./ForwardedRequest";

/** What is sent, where to and under which conditions. */
export interface BackendAttempt {
    /** The caller's request. */
    request: ForwardedRequest;
    /** The backend server; another one at its address must not run the request. */
    instance: FleetInstance;
    /** The connections that this process may hold to the backend server. */
    maximumConnections: number;
    /** The workspace that holds the caller's key. */
    workspace: string | undefined;
    /** How long the backend server may work, in milliseconds. */
    remainingMilliseconds: number;
    /** How urgent the request is at an engine; 0 goes first. */
    priority: number;
    /** The weights under which alone the request may begin. */
    weightsVersion: number | undefined;
    /** The text under which an engine caches the prompt's parts. */
    cacheSalt: string | undefined;
    /** Where an engine fetches parts from that it lacks. */
    fetchAddress: string | undefined;
    /** Where an engine saves the parts that it reads. */
    saveAddress: string | undefined;
    /** The last event that the caller has, where a stream goes on. */
    lastEventId: string | undefined;
    /** Ends the attempt, and the work at the backend server. */
    signal: AbortSignal;
    /** Ends the attempt too: aborted once the backend server is held to be dead. */
    unresponsiveSignal: AbortSignal | undefined;
    /** Called with each sign of life of the backend server. */
    onActivity(): void;
}
