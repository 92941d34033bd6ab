/*
 * Stores the state that control members have sent. A lower version of the document never replaces a higher one,
 * whichever member sends it.
 */
import { createRouteTable, RouteTable } from "../documents";
import { ClockReading, getElapsedMilliseconds, readClocks } from "../membership";
import { FleetView, PollResponse } from "../protocol";
import { DesiredWeights } from "./DesiredWeights";
import { FeedState } from "./FeedState";
import { FeedStateOptions } from "./FeedStateOptions";

/**
 * Creates the state of an entry process that has received nothing yet.
 * @param options - The decoder, clock and logger of the state.
 */
export function createFeedState(options: FeedStateOptions): FeedState {
    const { decode, clock, logger } = options;
    let table: RouteTable | undefined;
    let fleet: FleetView | undefined;
    let fleetRevision = "";
    let fleetReceived = readClocks(clock);
    let entryCount = 1;
    let memberAddresses: readonly string[] = [];
    let resolveInitialState: () => void = () => undefined;
    const initialState = new Promise<void>(resolve => resolveInitialState = resolve);
    let documentConfirmed: ClockReading | undefined;
    return {
        getRouteTable: () => table,
        getFleet: () => fleet,
        waitForInitialState: () => initialState,
        getFleetAgeMilliseconds: () => getElapsedMilliseconds(clock, fleetReceived),
        getFleetRevision: () => fleetRevision,
        getMemberAddresses: () => memberAddresses,
        getEntryCount: () => entryCount,
        getDocumentAgeMilliseconds: () =>
            documentConfirmed === undefined ? Infinity : getElapsedMilliseconds(clock, documentConfirmed),
        getDesiredWeights,
        applyResponse,
    };

    function applyResponse(response: PollResponse, sendTime: ClockReading): void {
        entryCount = Math.max(1, response.entryCount);
        memberAddresses = response.memberAddresses.length > 0 ? response.memberAddresses : memberAddresses;
        if (response.fleet) {
            fleet = response.fleet;
            fleetRevision = response.fleetRevision;
            fleetReceived = readClocks(clock);
        }
        if (isCurrentVersion(Number(response.documentVersion)) || replaceTable(response)) {
            documentConfirmed = sendTime;
        }
        if (table && fleet) {
            resolveInitialState();
        }
    }

    /** Checks whether a response names the current version; a response with a lower version confirms nothing. */
    function isCurrentVersion(version: number): boolean {
        return table !== undefined && version === table.document.version;
    }

    /** Replaces the route table with that of a newer document; returns whether it was replaced. */
    function replaceTable(response: PollResponse): boolean {
        const version = Number(response.documentVersion);
        if (response.document.length === 0 || version <= (table?.document.version ?? 0)) {
            return false;
        }
        const outcome = decode(response.document);
        if (outcome.kind === "invalid") {
            logger.error({ version, problem: outcome.problem }, "can't decode a committed document");
            return false;
        }
        logger.info({ version, formerVersion: table?.document.version }, "document in force");
        table = createRouteTable(outcome.document);
        return true;
    }

    function getDesiredWeights(model: string): readonly DesiredWeights[] {
        const elapsed = getElapsedMilliseconds(clock, fleetReceived);
        return (fleet?.targets ?? [])
            .filter(target => target.model === model)
            .map(({ weightsVersion, ageMilliseconds }) => ({
                weightsVersion,
                ageMilliseconds: ageMilliseconds + elapsed,
            }));
    }
}
