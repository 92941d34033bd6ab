/*
 * The options of the session hub.
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

/** The options of the session hub. */
export interface SessionHubOptions {
    /** The configuration that this member has applied. */
    configuration: ConfigurationSource;
    /** The replicated set of sidecars whose majority can give peer confirmation. */
    sidecarSet: SidecarSetPart;
    /** The directory that sessions read and update. */
    directory: WritableDirectory;
    /** The processes that may hold leases from this member. */
    leaseHolders: LeaseHolderTable;
    /** This member's own lease, which bounds the leases that it grants. */
    memberLease: MemberLease;
    /** Tells whether this member leads; then its holders need no registration with another leader. */
    isLeader: () => boolean;
    /** Gets the events that a new session begins with, besides configuration and directory. */
    getInitialEvents: () => readonly SessionEvent[];
    /** Called with each record that changed the directory. */
    handleRecord: (record: ProcessRecord) => void;
    /** Called with updates that other parts handle: quota requests and order reports. */
    handleUpdate: (update: ProcessUpdate) => void;
    /** The clock that times and delays are taken from. */
    clock: Clock;
    /** The logger. */
    logger: Logger;
}
