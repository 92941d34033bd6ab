/*
 * The interface of a control member to the rest of its process.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { Stoppable } from "../runtime";
import { ConfigurationPart } from "./configuration";
import { ReplicatedLog } from "./consensus";
import { ControlClient } from "./ControlClient";
import { ControlState } from "./ControlState";
import { Distribution, InForceCheck } from "./distribution";

/** A member of the replicated log, with its copy of the replicated state and the sessions that it serves. */
export interface ControlMember extends Stoppable {
    /** The replicated log. */
    log: ReplicatedLog;
    /** The replicated state as this member has applied it. */
    state: ControlState;
    /** The configuration as this member has applied it. */
    configuration: ConfigurationPart;
    /** The sessions, the leases, the directory and the configuration revision in force. */
    distribution: Distribution;
    /** The client for commands and queries, which calls this member first and the leader once its address is known. */
    client: ControlClient;
    /**
     * Adds the RPC services for other processes to a listener.
     * @param router - The listener's RPC router.
     */
    addServices(router: ConnectRouter): void;
    /**
     * Waits until a configuration revision is in force at all processes, as the leader determines it.
     * @param revision - The configuration revision.
     * @param timeoutMilliseconds - The maximum wait.
     * @returns The state at the end of the wait; `noLeader` if the leader is unknown or didn't respond.
     */
    waitInForce(revision: bigint, timeoutMilliseconds: number): Promise<InForceCheck>;
}
