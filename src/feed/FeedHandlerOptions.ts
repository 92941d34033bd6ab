/*
 * The options of the feed handler.
 */
import { ReplicatedLog } from "../control/consensus";
import { SubjectEvidence } from "../crashQuarantine";
import { DocumentState } from "../documents";
import { FleetSource } from "../fleet";
import { Clock } from "../runtime";
import { LimitLedger } from "../serverLimits";
import { EntryRegistry } from "./EntryRegistry";

/** The options of a control member's feed handler. */
export interface FeedHandlerOptions {
    /** The member's log, whose read barrier confirms each response. */
    log: Pick<ReplicatedLog, "readBarrier" | "getStatus">;
    /** The state machine of the log: the routing document. */
    documents: DocumentState;
    /** The leader's view of the fleet. */
    fleet: FleetSource;
    /** Counts the entry processes that poll. */
    entryRegistry: EntryRegistry;
    /** Receives the reports of crashes that come with the polls. */
    evidence: SubjectEvidence;
    /** Receives the statements on limits that come with the polls. */
    limitLedger: LimitLedger;
    /** Measures the wait of polls. */
    clock: Clock;
}
