/*
 * What the sharing of state with one control member is made of.
 */
import { StopwatchReading, WritableDirectory } from "../../membership";
import { ProcessRecord, ShareStateResponse } from "../../protocol";
import { Clock } from "../../runtime";
import { ControlPeers } from "./ControlPeers";
import { LeaseHolderTable } from "./LeaseHolderTable";
import { MemberIdentity } from "./MemberIdentity";

/** The options of the sharing with one member. */
export interface PeerSynchronizerOptions {
    /** What this member is. */
    identity: MemberIdentity;
    /** The other member's address. */
    address: string;
    /** How the other member is called. */
    peers: ControlPeers;
    /** The directory. */
    directory: WritableDirectory;
    /** The processes that may hold leases from here. */
    leaseHolders: LeaseHolderTable;
    /** Tells whether the other member is thought to lead. */
    isLeader: () => boolean;
    /** Gets the configuration revision applied here. */
    getRevision: () => bigint;
    /** Tells whether no lease of a former run of this member can still run. */
    coversFormerRun: () => boolean;
    /** Tells whether this member gives no leases any more. */
    hasStopped: () => boolean;
    /** Gets how long this member may give leases, in milliseconds. */
    getLeaseMilliseconds: () => number;
    /** Called with the records that the other member has sent. */
    handleRecords: (records: readonly ProcessRecord[]) => void;
    /** Called with the leader's answer, and the processes that it now knows. */
    handleLease: (response: ShareStateResponse, sentAt: StopwatchReading) => void;
    /** The passing of time. */
    clock: Clock;
}
