/*
 * What the control member's end of the feed is made of.
 */
import { ReplicatedLog } from "../control/consensus";
import { DocumentState } from "../documents";
import { Clock } from "../runtime";
import { EntryRegistry } from "./EntryRegistry";
import { FleetSource } from "./FleetSource";

/** The options of the feed's handler. */
export interface FeedHandlerOptions {
    /** The member's log, whose barrier proves each answer. */
    log: Pick<ReplicatedLog, "readBarrier" | "getStatus">;
    /** What the log carries. */
    documents: DocumentState;
    /** The view of the fleet. */
    fleet: FleetSource;
    /** The entries that poll. */
    entryRegistry: EntryRegistry;
    /** The passing of time. */
    clock: Clock;
}
