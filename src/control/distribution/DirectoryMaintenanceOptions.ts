/*
 * The options of the leader's maintenance of the directory and of the sidecar set.
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

/** The options of the directory maintenance. */
export interface DirectoryMaintenanceOptions {
    /** This member's leadership; maintenance runs only while it is assured. */
    leadership: Leadership;
    /** The directory whose records are maintained. */
    directory: WritableDirectory;
    /** The replicated set of sidecars whose majority can give peer confirmation. */
    sidecarSet: SidecarSetPart;
    /** Decides whether the newest sidecar set is acknowledged by enough sidecars. */
    tracker: InForceTracker;
    /** The processes with sessions at this member. */
    leaseHolders: LeaseHolderTable;
    /** The reports of the other members. */
    reports: MemberReports;
    /** How long the platform's list has left out each instance. */
    platformListTracker: PlatformListTracker;
    /** Commits a command in the replicated log. */
    propose: (command: Command) => Promise<unknown>;
    /** Called with the instance id of each record that the maintenance has changed. */
    handleRecordChange: (instanceId: string) => void;
    /** The clock that times and delays are taken from. */
    clock: Clock;
    /** The logger. */
    logger: Logger;
}
