/*
 * The options of the shutdown notice, the last message of a stopping control member.
 */
import { Clock } from "../../runtime";
import { ControlPeers } from "./ControlPeers";
import { LeaseHolderTable } from "./LeaseHolderTable";
import { MemberIdentity } from "./MemberIdentity";

/** The options of a shutdown notice. */
export interface ShutdownNoticeOptions {
    /** This member's group, id, address and incarnation. */
    identity: MemberIdentity;
    /** The addresses of the other members, as `ip:port`. */
    addresses: readonly string[];
    /** The calls to the other members. */
    peers: ControlPeers;
    /** The processes whose leases from this member may still run. */
    leaseHolders: LeaseHolderTable;
    /** The configuration revision that this member has applied. */
    revision: bigint;
    /** Whether all leases that a former run of this member granted are over. */
    coversFormerRun: boolean;
    /** The clock that times and delays are taken from. */
    clock: Clock;
}
