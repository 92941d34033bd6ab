/*
 * What an entry knows of each backend server's load.
 */
import { LoadReport } from "./LoadReport";

/** Keeps the load of backend servers. */
export interface LoadBoard {
    /** Notes that an attempt was sent, with the prompt tokens that the backend server must read. */
    noteSent(instanceId: string, tokens: number): void;
    /** Notes that a backend server has read an attempt's prompt: its first event came. */
    noteStarted(instanceId: string, tokens: number): void;
    /** Notes that an attempt has ended. */
    noteEnded(instanceId: string): void;
    /** Notes what a backend server says of its load. */
    noteReport(instanceId: string, report: LoadReport): void;
    /** Notes that a backend server could not be reached or broke off; it is avoided for a time. */
    noteFailure(instanceId: string): void;
    /** Notes that a backend server's address answers for another one; it is avoided until the fleet view changes. */
    noteGone(instanceId: string): void;
    /** Tells whether a backend server failed lately. */
    isSuspected(instanceId: string): boolean;
    /** Gets the requests that wait at a backend server, by its last report; 0 where that is old. */
    getWaiting(instanceId: string): number;
    /** Gets the requests that are believed to be at a backend server, of all entries. */
    getRequests(instanceId: string): number;
    /** Gets the prompt tokens of this entry that the backend server has still to read. */
    getUnreadTokens(instanceId: string): number;
}
