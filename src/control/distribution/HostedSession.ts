/*
 * One process's session at this control member.
 */
import { ProcessRecord, SessionEvent } from "../../protocol";
import { AsyncQueue } from "../../runtime";
import { HeldLease } from "./HeldLease";

/** A session, with what has been sent over it. */
export interface HostedSession {
    /** The newest that the process has said of itself. */
    record: ProcessRecord;
    /** The process's lease. */
    held: HeldLease;
    /** What is to be sent. */
    outgoing: AsyncQueue<SessionEvent>;
    /** The configuration revision that the process holds once all is sent. */
    sentRevision: bigint;
    /** The number of the set of sidecars that the process holds once all is sent; undefined before the first. */
    sentSetNumber: bigint | undefined;
    /** The number of the lease request that waits for an answer. */
    waitingRequest: bigint | undefined;
    /** Since when the request waits, on the monotonic clock. */
    waitingSinceMilliseconds: number;
    /** When the process was last heard of, on the monotonic clock. */
    heardAtMilliseconds: number;
}
