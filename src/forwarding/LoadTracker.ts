/*
 * An entry process's view of the load of each backend server.
 */
import { ServerLoad } from "../serverLoads";
import { ServerSpeed } from "../serverSpeeds";
import { LoadReport } from "./LoadReport";

/** Tracks the load of backend servers. */
export interface LoadTracker {
    /** Records that an attempt was sent, with the tokens of its prompt and those that the engine probably prefills. */
    recordSent(instanceId: string, promptTokens: number, prefillTokens: number): void;
    /**
     * Records that the prefill of an attempt's prompt has ended: its first event was received, or none will be.
     * @param prefillTokens - The tokens that the engine was expected to prefill.
     */
    recordPrefillEnd(instanceId: string, prefillTokens: number): void;
    /** Records that an attempt has ended, with the tokens of its prompt. */
    recordAttemptEnd(instanceId: string, promptTokens: number): void;
    /** Records the load that a backend server reports. */
    recordReport(instanceId: string, report: LoadReport): void;
    /** Records that a backend server was unreachable or did not complete its response; it is avoided for some time. */
    recordFailure(instanceId: string): void;
    /**
     * Records that a different backend server responds at this one's address; it is avoided until the fleet view
     * changes.
     */
    recordReplaced(instanceId: string): void;
    /** Returns whether a backend server failed recently or is unresponsive. */
    isSuspected(instanceId: string): boolean;
    /** Gets the number of requests queued at a backend server by its last report; 0 where that is outdated. */
    getQueueLength(instanceId: string): number;
    /** Gets the estimated number of requests at a backend server, from all entry processes. */
    getRequestCount(instanceId: string): number;
    /** Gets the estimated prompt tokens, from all entry processes, that the backend server has not prefilled yet. */
    getPendingPrefillTokens(instanceId: string): number;
    /**
     * Gets the prompt tokens, from all entry processes, that had not been prefilled when they were last reported. At an engine
     * whose queue does not end, as much has come since as was prefilled.
     */
    getReportedPrefillTokens(instanceId: string): number;
    /** Gets the estimated prompt tokens of the requests in flight at an engine, from all entry processes. */
    getPromptTokens(instanceId: string): number;
    /** Gets the number of requests that a backend server can run at once, by its last report; undefined where unknown. */
    getSlots(instanceId: string): number | undefined;
    /** Gets how long work takes at a backend server in relation to the usual time; 1 where that is unknown. */
    getWorkFactor(instanceId: string): number;
    /** Gets how long work takes at a backend server with the age of that figure; undefined where it is unknown. */
    getSpeed(instanceId: string): ServerSpeed | undefined;
    /** Returns whether any backend server has reported how long work takes on its machine recently. */
    hasReportedSpeeds(): boolean;
    /** Gets the known work factors of the backend servers from which this entry process has recent reports. */
    getKnownWorkFactors(): readonly number[];
    /**
     * Gets the age of what is known of a backend server's load, in milliseconds; undefined where neither its last report nor
     * the load from all entry processes is recent enough to be used.
     */
    getLoadAgeMilliseconds(instanceId: string): number | undefined;
    /** Gets the load that this entry process has caused at engines, and what they have reported of their speed. */
    getOwnLoads(): readonly ServerLoad[];
}
