/*
 * Detection of the crashes of an engine by its sidecar, which survives them.
 */
import { InFlightRequest } from "./InFlightRequest";

/** Tracks the requests in flight, and reports them if the engine crashes. */
export interface CrashDetector {
    /** Adds a request that is passed on to the engine. */
    addRequest(request: InFlightRequest): void;
    /** Removes a request that is no longer in flight. */
    removeRequest(request: InFlightRequest): void;
    /**
     * Determines whether a request's connection failed because the engine has crashed. The first check after a crash
     * reports all requests that were in flight. The result is returned once the report is committed or has timed out.
     */
    checkCrash(request: InFlightRequest): Promise<boolean>;
}
