/*
 * Holds what control answered. A lower version of the document never replaces a higher one, whoever sends it.
 */
import { createRouteTable, RouteTable } from "../documents";
import { getElapsedMilliseconds, readStopwatch, StopwatchReading } from "../membership";
import { FleetView, PollResponse } from "../protocol";
import { FeedState } from "./FeedState";
import { FeedStateOptions } from "./FeedStateOptions";
import { WantedWeights } from "./WantedWeights";

/** Creates the state of an entry that knows nothing yet. */
export function createFeedState(options: FeedStateOptions): FeedState {
    const { decode, clock, logger } = options;
    let table: RouteTable | undefined;
    let fleet: FleetView | undefined;
    let fleetRevision = "";
    let fleetRead = readStopwatch(clock);
    let entryCount = 1;
    let resolveFirstKnowledge: () => void = () => undefined;
    const firstKnowledge = new Promise<void>(resolve => resolveFirstKnowledge = resolve);
    let proved: StopwatchReading | undefined;
    return {
        getTable: () => table,
        getFleet: () => fleet,
        getFirstKnowledge: () => firstKnowledge,
        getFleetRevision: () => fleetRevision,
        getEntryCount: () => entryCount,
        getAgeMilliseconds: () => proved === undefined ? Infinity : getElapsedMilliseconds(clock, proved),
        getWantedWeights,
        update,
    };

    function update(response: PollResponse, sent: StopwatchReading): void {
        entryCount = Math.max(1, response.entryCount);
        if (response.fleet) {
            fleet = response.fleet;
            fleetRevision = response.fleetRevision;
            fleetRead = readStopwatch(clock);
        }
        if (isHeld(Number(response.documentVersion)) || replaceTable(response)) {
            proved = sent;
        }
        if (table && fleet) {
            resolveFirstKnowledge();
        }
    }

    /** Tells whether the newest version is the one held; an older answer proves nothing. */
    function isHeld(version: number): boolean {
        return table !== undefined && version === table.document.version;
    }

    /** Replaces the table by a newer document; tells whether it could. */
    function replaceTable(response: PollResponse): boolean {
        const version = Number(response.documentVersion);
        if (response.document.length === 0 || version <= (table?.document.version ?? 0)) {
            return false;
        }
        const outcome = decode(response.document);
        if (outcome.kind === "invalid") {
            logger.error({ version, problem: outcome.problem }, "can't read a committed document");
            return false;
        }
        logger.info({ version, formerVersion: table?.document.version }, "document in force");
        table = createRouteTable(outcome.document);
        return true;
    }

    function getWantedWeights(model: string): readonly WantedWeights[] {
        const elapsed = getElapsedMilliseconds(clock, fleetRead);
        return (fleet?.targets ?? [])
            .filter(target => target.model === model)
            .map(({ weightsVersion, ageMilliseconds }) => ({
                weightsVersion,
                ageMilliseconds: ageMilliseconds + elapsed,
            }));
    }
}
