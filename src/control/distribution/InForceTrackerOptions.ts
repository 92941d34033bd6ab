/*
 * The options of the in-force tracker.
 */
import { Directory } from "../../membership";
import { Clock } from "../../runtime";
import { ReplicatedLog } from "../consensus";
import { Leadership } from "./Leadership";
import { LeaseHolderTable } from "./LeaseHolderTable";
import { MemberReports } from "./MemberReports";
import { SidecarSetPart } from "./SidecarSetPart";

/** The options of the in-force tracker. */
export interface InForceTrackerOptions {
    /** The replicated log, which lists the members. */
    log: Pick<ReplicatedLog, "getStatus">;
    /** This member's leadership. */
    leadership: Leadership;
    /** The processes that may hold leases from this member. */
    leaseHolders: LeaseHolderTable;
    /** The reports of the other members. */
    reports: MemberReports;
    /** The replicated set of sidecars whose majority can give peer confirmation. */
    sidecarSet: SidecarSetPart;
    /** The directory, which holds the newest incarnation of each sidecar. */
    directory: Directory;
    /** The clock that times and delays are taken from. */
    clock: Clock;
    /**
     * Tells whether this member started so recently that it may have missed the removal of a member with a lease.
     */
    mayHaveMissedRemoval: () => boolean;
}
