/*
 * The state of one process's session at this control member.
 */
import { ProcessRecord, SessionEvent } from "../../protocol";
import { AsyncQueue } from "../../runtime";
import { LeaseHolderState } from "./LeaseHolderState";

/** A session, with what has been sent over it and the lease request that is pending. */
export interface HostedSession {
    /** The newest record that the process has sent of itself. */
    record: ProcessRecord;
    /** The process's lease and acknowledgements. */
    holder: LeaseHolderState;
    /** The queue of events to be sent. */
    outgoing: AsyncQueue<SessionEvent>;
    /** The configuration revision that the process holds once the queue is sent. */
    sentRevision: bigint;
    /** The number of the sidecar set that the process holds once the queue is sent; undefined before its first summary. */
    sentSidecarSetNumber: bigint | undefined;
    /** The number of the lease request that has no response yet; undefined if there is none. */
    pendingLeaseRequestNumber: bigint | undefined;
    /** When the newest lease request arrived, in milliseconds of the monotonic clock. */
    leaseRequestedAtMilliseconds: number;
    /** When the process last sent anything, in milliseconds of the monotonic clock. */
    lastUpdateAtMilliseconds: number;
}
