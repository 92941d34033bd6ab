/*
 * The options of the update router.
 */
import { Logger } from "../../logging";
import { ReplicatedLog } from "../consensus";
import { ControlPeers } from "./ControlPeers";
import { MemberIdentity } from "./MemberIdentity";
import { MemberReports } from "./MemberReports";
import { SessionHub } from "./SessionHub";

/** The options of the update router. */
export interface UpdateRouterOptions {
    /** This member's group, id, address and incarnation. */
    identity: MemberIdentity;
    /** The replicated log, which names the members and the leader. */
    log: Pick<ReplicatedLog, "getStatus">;
    /** The calls to the other members. */
    peers: ControlPeers;
    /** The reports of the other members, which list the processes with sessions there. */
    reports: MemberReports;
    /** Gets the sessions at this member; a function since the hub is created after the router. */
    getHub: () => SessionHub;
    /** The logger. */
    logger: Logger;
}
