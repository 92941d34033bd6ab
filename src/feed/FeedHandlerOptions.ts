/*
 * The options of the feed handler.
 */
import { ReplicatedLog } from "../control/consensus";
import { DocumentState } from "../documents";
import { FactHub } from "../facts";
import { FleetSource } from "../fleet";
import { Clock } from "../runtime";
import { EntryRegistry } from "./EntryRegistry";
import { ResponseExtension } from "./ResponseExtension";

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
    /** Exchanges facts with the entry processes that poll. */
    factHub: FactHub;
    /** What else travels with the polls. */
    extension?: ResponseExtension;
    /** Measures the wait of polls. */
    clock: Clock;
}
