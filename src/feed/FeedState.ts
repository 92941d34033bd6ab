/*
 * What an entry knows from control.
 */
import { RouteTable } from "../documents";
import { StopwatchReading } from "../membership";
import { FleetView, PollResponse } from "../protocol";

/** The entry's copy of the document and of the fleet, with its age. */
export interface FeedState {
    /** Gets the newest document's table; undefined where none is known. */
    getTable(): RouteTable | undefined;
    /** Gets the fleet; undefined where none is known. */
    getFleet(): FleetView | undefined;
    /** Gets the revision of the fleet held; empty for none. */
    getFleetRevision(): string;
    /** Gets how many entries share the system's budgets; 1 at least. */
    getEntryCount(): number;
    /** Gets how long ago the document was last proved to be the newest, in milliseconds; Infinity where it never was. */
    getAgeMilliseconds(): number;
    /** Gets how old a named weights version is, in milliseconds; undefined where the model has none. */
    getWeightsTarget(model: string): { weightsVersion: number; ageMilliseconds: number; } | undefined;
    /**
     * Takes an answer over.
     * @param response - A current answer.
     * @param sent - When its poll was sent.
     */
    update(response: PollResponse, sent: StopwatchReading): void;
}
