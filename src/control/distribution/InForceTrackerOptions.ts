/*
 * What the counting of acknowledgements is made of.
 */
import { Directory } from "../../membership";
import { Clock } from "../../runtime";
import { ReplicatedLog } from "../consensus";
import { Leadership } from "./Leadership";
import { LeaseHolderTable } from "./LeaseHolderTable";
import { MemberReports } from "./MemberReports";
import { SidecarSetPart } from "./SidecarSetPart";

/** The options of the counting. */
export interface InForceTrackerOptions {
    /** The replicated log, for its members. */
    log: Pick<ReplicatedLog, "getStatus">;
    /** Whether this member leads. */
    leadership: Leadership;
    /** The processes that may hold leases from this member. */
    leaseHolders: LeaseHolderTable;
    /** The other members' reports. */
    reports: MemberReports;
    /** The sidecars whose majority may vouch. */
    sidecarSet: SidecarSetPart;
    /** The directory, for the sidecars' newest incarnations. */
    directory: Directory;
    /** The passing of time. */
    clock: Clock;
    /** Whether this member's run is so young that it may have missed the removal of a member with a lease. */
    mayHaveMissedRemoval: () => boolean;
}
