/*
 * What an entry knows of each backend server's load.
 */
import { LoadReport } from "./LoadReport";

/** Keeps the load of backend servers. */
export interface LoadTracker {
    /** Notes that an attempt was sent, with the prompt tokens that the backend server must read. */
    recordSent(instanceId: string, promptTokens: number): void;
    /** Notes that a backend server has read an attempt's prompt: its first event came. */
    recordPrefillEnd(instanceId: string, promptTokens: number): void;
    /** Notes that an attempt has ended. */
    recordAttemptEnd(instanceId: string): void;
    /** Notes what a backend server says of its load. */
    recordReport(instanceId: string, report: LoadReport): void;
    /** Notes that a backend server could not be reached or broke off; it is avoided for a time. */
    recordFailure(instanceId: string): void;
    /** Notes that a backend server's address answers for another one; it is avoided until the fleet view changes. */
    recordReplaced(instanceId: string): void;
    /** Tells whether a backend server failed lately. */
    isSuspected(instanceId: string): boolean;
    /** Gets the requests that wait at a backend server, by its last report; 0 where that is old. */
    getQueueLength(instanceId: string): number;
    /** Gets the requests that are believed to be at a backend server, of all entries. */
    getRequestCount(instanceId: string): number;
    /** Gets the prompt tokens of this entry that the backend server has still to read. */
    getPendingPrefillTokens(instanceId: string): number;
}
