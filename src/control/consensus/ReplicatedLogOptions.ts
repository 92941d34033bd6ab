/*
 * The options of a member of a replicated log.
 */
import { Logger } from "../../logging";
import { Metrics } from "../../metrics";
import { MemberSet } from "../../protocol";
import { Clock, RandomSource } from "../../runtime";
import { LogStorage } from "../storage";
import { ConsensusLimits } from "./ConsensusLimits";
import { ConsensusPeers } from "./ConsensusPeers";
import { ConsensusTiming } from "./ConsensusTiming";
import { JoinOptions } from "./JoinOptions";
import { StateMachine } from "./StateMachine";

/** The options of `createReplicatedLog`. */
export interface ReplicatedLogOptions {
    /** The group's name; messages of other groups are refused. */
    group: string;
    /** The member's own address, as other members reach it. */
    address: string;
    /** The durable state, whose identity is the member's. The caller stops it after the log. */
    storage: LogStorage;
    /** The client for messages to other members. */
    peers: ConsensusPeers;
    /** The state machine to which committed commands are applied. */
    stateMachine: StateMachine;
    /** The clock. */
    clock: Clock;
    /** The source of random election timeouts. */
    random: RandomSource;
    /** The logger. */
    logger: Logger;
    /** The metrics that count commits and elections, and show commit times, the term and the commit index. */
    metrics: Metrics;
    /** The members of a new group whose identities are known in advance; ignored where the storage is not empty. */
    initialMembers?: MemberSet;
    /** How the member joins its group; without it, the member waits to be added. */
    join?: JoinOptions;
    /** Timing that differs from `defaultConsensusTiming`. */
    timing?: Partial<ConsensusTiming>;
    /** Limits that differ from `defaultConsensusLimits`. */
    limits?: Partial<ConsensusLimits>;
}
