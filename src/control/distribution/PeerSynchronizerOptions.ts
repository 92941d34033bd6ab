/*
 * The options of the synchronization with one other control member.
 */
import { ClockReading, WritableDirectory } from "../../membership";
import { ProcessRecord, ShareStateResponse } from "../../protocol";
import { Clock } from "../../runtime";
import { ControlPeers } from "./ControlPeers";
import { LeaseHolderTable } from "./LeaseHolderTable";
import { MemberIdentity } from "./MemberIdentity";

/** The options of the synchronization with one other member. */
export interface PeerSynchronizerOptions {
    /** This member's group, id, address and incarnation. */
    identity: MemberIdentity;
    /** The other member's address, as `ip:port`. */
    address: string;
    /** The calls to the other member. */
    peers: ControlPeers;
    /** The directory whose records are synchronized. */
    directory: WritableDirectory;
    /** The processes that may hold leases from this member. */
    leaseHolders: LeaseHolderTable;
    /** Tells whether the other member leads as far as this member can tell. */
    isLeader: () => boolean;
    /** Gets the configuration revision that this member has applied. */
    getRevision: () => bigint;
    /** Tells whether all leases that a former run of this member granted are over. */
    coversFormerRun: () => boolean;
    /** Tells whether this member has stopped granting leases. */
    hasStopped: () => boolean;
    /** Gets how long a lease that this member grants now may run, in milliseconds. */
    getLeaseMilliseconds: () => number;
    /** Called with the records that the other member has sent. */
    handleRecords: (records: readonly ProcessRecord[]) => void;
    /** Called with a response that grants a lease, and the time at which its request was sent. */
    handleLease: (response: ShareStateResponse, sentAt: ClockReading) => void;
    /** The clock that times and delays are taken from. */
    clock: Clock;
}
