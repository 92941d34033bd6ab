/*
 * A control member as the rest of its process sees it.
 */
import type { ConnectRouter } from "@connectrpc/connect";
import { Stoppable } from "../runtime";
import { ConfigurationPart } from "./configuration";
import { ReplicatedLog } from "./consensus";
import { ControlClient } from "./ControlClient";
import { ControlState } from "./ControlState";
import { Distribution, InForceCheck } from "./distribution";

/** One member of the replicated log, with the state that it carries and the sessions that it serves. */
export interface ControlMember extends Stoppable {
    /** The replicated log. */
    log: ReplicatedLog;
    /** The replicated state here. */
    state: ControlState;
    /** The configuration here. */
    configuration: ConfigurationPart;
    /** Sessions, leases, the directory, and what is in force. */
    distribution: Distribution;
    /** Executes commands and queries, beginning at this member. */
    client: ControlClient;
    /** Adds the services for other processes to a listener. */
    addServices(router: ConnectRouter): void;
    /**
     * Waits until a revision is in force everywhere, as the leader counts it.
     * @param timeoutMilliseconds - The longest wait.
     */
    waitInForce(revision: bigint, timeoutMilliseconds: number): Promise<InForceCheck>;
}
