/*
 * Stores the state that control members have sent. A lower version of the document never replaces a higher one,
 * whichever member sends it.
 */
import { createRouteTable, RouteTable } from "../documents";
import { ClockReading, getElapsedMilliseconds, readClocks } from "../membership";
import { FleetView, PollResponse } from "../protocol";
import { waitWithTimeout } from "../runtime";
import { createControlContact } from "./createControlContact";
import { DesiredWeights } from "./DesiredWeights";
import { FeedState } from "./FeedState";
import { FeedStateOptions } from "./FeedStateOptions";

/**
 * How long software versions that were in a view are kept, in milliseconds: as long as callers resume streams that they
 * began. A new leader does not know the former ones.
 */
const versionRetentionMilliseconds = 30_000;

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
    const contact = createControlContact(clock, logger);
    let memberAddresses: readonly string[] = [];
    let resolveInitialState: () => void = () => undefined;
    /** When each software version was in a view last, on the monotonic clock, in milliseconds, by service. */
    const versionTimes = new Map<string, Map<string, number>>();
    const confirmations = new Set<{ requestMilliseconds: number; resolve: () => void; }>();
    const confirmationListeners = new Set<() => void>();
    const initialState = new Promise<void>(resolve => resolveInitialState = resolve);
    let documentConfirmed: ClockReading | undefined;
    let fleetConfirmed: ClockReading | undefined;
    return {
        getRouteTable: () => table,
        getFleet: () => fleet,
        waitForInitialState: () => initialState,
        getFleetAgeMilliseconds: () => getElapsedMilliseconds(clock, fleetReceived),
        getFleetRevision: () => fleetRevision,
        getSoftwareVersions,
        confirmFleet,
        addConfirmationListener: listener => {
            confirmationListeners.add(listener);
            return () => confirmationListeners.delete(listener);
        },
        getMemberAddresses: () => memberAddresses,
        getEntryCount: contact.getEntryCount,
        getContactStartMilliseconds: contact.getStartMilliseconds,
        getDocumentAgeMilliseconds: () =>
            documentConfirmed === undefined ? Infinity : getElapsedMilliseconds(clock, documentConfirmed),
        getDesiredWeights,
        applyResponse,
    };

    function applyResponse(response: PollResponse, sendTime: ClockReading): void {
        // What may fail comes first: a response that is taken over in part would confirm state that is not there.
        const newTable = createNewerTable(response);
        recordVersions(response.fleet ?? fleet);
        contact.recordResponse(response.entryCount);
        memberAddresses = response.memberAddresses.length > 0 ? response.memberAddresses : memberAddresses;
        if (response.fleet) {
            fleet = response.fleet;
            fleetRevision = response.fleetRevision;
            fleetReceived = readClocks(clock);
        }
        if (fleet && response.fleetRevision !== "" && response.fleetRevision === fleetRevision) {
            fleetConfirmed = sendTime;
            resolveConfirmations(sendTime.monotonicMilliseconds);
        }
        if (newTable) {
            const { version } = newTable.document;
            logger.info({ version, formerVersion: table?.document.version }, "document in force");
            table = newTable;
        }
        if (newTable || isCurrentVersion(Number(response.documentVersion))) {
            documentConfirmed = sendTime;
        }
        if (table && fleet) {
            resolveInitialState();
        }
    }

    async function confirmFleet(timeoutMilliseconds: number, maximumAgeMilliseconds = 0): Promise<boolean> {
        if (fleetConfirmed && getElapsedMilliseconds(clock, fleetConfirmed) < maximumAgeMilliseconds) {
            return true;
        }
        const requestMilliseconds = clock.getMonotonicMilliseconds();
        let isConfirmed = false;
        let resolveConfirmed: () => void = () => undefined;
        const confirmed = new Promise<void>(resolve => resolveConfirmed = resolve);
        const confirmation = {
            requestMilliseconds,
            resolve: () => {
                isConfirmed = true;
                resolveConfirmed();
            },
        };
        confirmations.add(confirmation);
        confirmationListeners.forEach(listener => listener());
        await waitWithTimeout(clock, confirmed, timeoutMilliseconds);
        confirmations.delete(confirmation);
        return isConfirmed;
    }

    function resolveConfirmations(sendMilliseconds: number): void {
        for (const confirmation of confirmations) {
            if (confirmation.requestMilliseconds <= sendMilliseconds) {
                confirmations.delete(confirmation);
                confirmation.resolve();
            }
        }
    }

    function recordVersions(view: FleetView | undefined): void {
        const now = clock.getMonotonicMilliseconds();
        for (const { service, softwareVersion } of [...view?.instances ?? [], ...view?.formerVersions ?? []]) {
            const times = versionTimes.get(service) ?? new Map<string, number>();
            versionTimes.set(service, times.set(softwareVersion, now));
        }
    }

    function getSoftwareVersions(service: string): readonly string[] {
        const oldest = clock.getMonotonicMilliseconds() - versionRetentionMilliseconds;
        return [...versionTimes.get(service) ?? []].filter(([, time]) => time > oldest).map(([version]) => version);
    }

    /** Checks whether a response names the current version; a response with a lower version confirms nothing. */
    function isCurrentVersion(version: number): boolean {
        return table !== undefined && version === table.document.version;
    }

    /** Creates the route table of a newer document; undefined if the response has none. */
    function createNewerTable(response: PollResponse): RouteTable | undefined {
        const version = Number(response.documentVersion);
        if (response.document.length === 0 || version <= (table?.document.version ?? 0)) {
            return undefined;
        }
        const outcome = decode(response.document);
        if (outcome.kind === "invalid") {
            logger.error({ version, problem: outcome.problem }, "can't decode a committed document");
            return undefined;
        }
        return createRouteTable(outcome.document);
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
