/*
 * What a sidecar, which outlives its engine's crashes, knows of them.
 */
import { InFlightRequest } from "./InFlightRequest";

/** Keeps which requests are in flight, and reports them when the engine crashes. */
export interface CrashDetector {
    /** Notes a request that is handed to the engine. */
    addRequest(request: InFlightRequest): void;
    /** Notes that a request is no longer in flight. */
    removeRequest(request: InFlightRequest): void;
    /**
     * Decides whether a request's connection failed because the engine has crashed. The first one to ask after a crash
     * has all that were in flight reported; the answer waits until the report is shared, or can't be in time.
     */
    checkCrash(request: InFlightRequest): Promise<boolean>;
}
