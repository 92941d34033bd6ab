/*
 * What the sessions of a control member are made of.
 */
import { Logger } from "../../logging";
import { WritableDirectory } from "../../membership";
import { ProcessRecord, SessionEvent } from "../../protocol";
import { Clock } from "../../runtime";
import { ConfigurationSource } from "../configuration/ConfigurationSource";
import { LeaseHolderTable } from "./LeaseHolderTable";
import { MemberLease } from "./MemberLease";
import { ProcessUpdate } from "./ProcessUpdate";
import { SidecarSetPart } from "./SidecarSetPart";

/** The options of the sessions. */
export interface SessionHubOptions {
    /** The configuration applied here. */
    configuration: ConfigurationSource;
    /** The sidecars whose majority may vouch. */
    sidecarSet: SidecarSetPart;
    /** The directory. */
    directory: WritableDirectory;
    /** The processes that may hold leases from here. */
    leaseHolders: LeaseHolderTable;
    /** This member's own lease. */
    memberLease: MemberLease;
    /** Tells whether this member leads, so that it knows of its own sessions. */
    isLeader: () => boolean;
    /** Gets what each process is sent first, beside configuration and directory. */
    getInitialEvents: () => readonly SessionEvent[];
    /** Called when a process has changed its record. */
    handleRecord: (record: ProcessRecord) => void;
    /** Called with updates that other parts handle. */
    handleUpdate: (update: ProcessUpdate) => void;
    /** The passing of time. */
    clock: Clock;
    /** Where events are logged. */
    logger: Logger;
}
