/*
 * What the last message of a stopping control member needs.
 */
import { Clock } from "../../runtime";
import { ControlPeers } from "./ControlPeers";
import { LeaseHolderTable } from "./LeaseHolderTable";
import { MemberIdentity } from "./MemberIdentity";

/** The options of a farewell. */
export interface ShutdownNoticeOptions {
    /** What this member is. */
    identity: MemberIdentity;
    /** The other members' addresses. */
    addresses: readonly string[];
    /** How they are called. */
    peers: ControlPeers;
    /** The processes whose leases from here may still run. */
    leaseHolders: LeaseHolderTable;
    /** The configuration revision applied here. */
    revision: bigint;
    /** Whether no lease of a former run of this member can still run. */
    coversFormerRun: boolean;
    /** The passing of time. */
    clock: Clock;
}
