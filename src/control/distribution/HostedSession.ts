/*
 * One process's session at this control member.
 */
import { ProcessRecord, SessionEvent } from "../../protocol";
import { AsyncQueue } from "../../runtime";
import { LeaseHolderState } from "./LeaseHolderState";

/** A session, with what has been sent over it. */
export interface HostedSession {
    /** The newest that the process has said of itself. */
    record: ProcessRecord;
    /** The process's lease. */
    holder: LeaseHolderState;
    /** What is to be sent. */
    outgoing: AsyncQueue<SessionEvent>;
    /** The configuration revision that the process holds once all is sent. */
    sentRevision: bigint;
    /** The number of the set of sidecars that the process holds once all is sent; undefined before the first. */
    sentSidecarSetNumber: bigint | undefined;
    /** The number of the lease request that waits for an answer. */
    pendingLeaseRequestNumber: bigint | undefined;
    /** Since when the request waits, on the monotonic clock. */
    leaseRequestedAtMilliseconds: number;
    /** When the process was last heard of, on the monotonic clock. */
    lastUpdateAtMilliseconds: number;
}
