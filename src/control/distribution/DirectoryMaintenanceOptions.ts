/*
 * What the leader's upkeep of the directory and of the set of sidecars is made of.
 */
import { Logger } from "../../logging";
import { WritableDirectory } from "../../membership";
import { Command } from "../../protocol";
import { Clock } from "../../runtime";
import { InForceTracker } from "./InForceTracker";
import { Leadership } from "./Leadership";
import { LeaseHolderTable } from "./LeaseHolderTable";
import { MemberReports } from "./MemberReports";
import { PlatformListTracker } from "./PlatformListTracker";
import { SidecarSetPart } from "./SidecarSetPart";

/** The options of the upkeep. */
export interface DirectoryMaintenanceOptions {
    /** Whether this member leads. */
    leadership: Leadership;
    /** The directory. */
    directory: WritableDirectory;
    /** The sidecars whose majority may vouch. */
    sidecarSet: SidecarSetPart;
    /** Counts who knows the newest set. */
    tracker: InForceTracker;
    /** The processes with sessions here. */
    leaseHolders: LeaseHolderTable;
    /** The other members' reports. */
    reports: MemberReports;
    /** What the platform's list says. */
    platformListTracker: PlatformListTracker;
    /** Commits a command. */
    propose: (command: Command) => Promise<unknown>;
    /** Called with the records that the upkeep has changed. */
    handleRecordChange: (instanceId: string) => void;
    /** The passing of time. */
    clock: Clock;
    /** Where events are logged. */
    logger: Logger;
}
