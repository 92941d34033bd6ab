/*
 * What an entry knows from control.
 */
import { RouteTable } from "../documents";
import { StopwatchReading } from "../membership";
import { FleetView, PollResponse } from "../protocol";
import { DesiredWeights } from "./DesiredWeights";

/** The entry's copy of the document and of the fleet, with its age. */
export interface FeedState {
    /** Gets the newest document's table; undefined where none is known. */
    getTable(): RouteTable | undefined;
    /** Gets the fleet; undefined where none is known. */
    getFleet(): FleetView | undefined;
    /** Gets a promise that is kept once a document and a fleet are known for the first time. */
    waitForInitialState(): Promise<void>;
    /** Gets the revision of the fleet held; empty for none. */
    getFleetRevision(): string;
    /** Gets how many entries share the system's budgets; 1 at least. */
    getEntryCount(): number;
    /** Gets how long ago the document was last proved to be the newest, in milliseconds; Infinity where it never was. */
    getDocumentAgeMilliseconds(): number;
    /** Gets the versions of a model's weights that were named last, and how long ago that was. */
    getWantedWeights(model: string): readonly DesiredWeights[];
    /**
     * Takes an answer over.
     * @param response - A current answer.
     * @param sent - When its poll was sent.
     */
    applyResponse(response: PollResponse, sent: StopwatchReading): void;
}
