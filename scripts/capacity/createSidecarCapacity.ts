/*
 * The resource use of control in a sidecar, which includes the cache events of its engine.
 */
import { createSessionLines } from "./createSessionLines";
import { designSize } from "./designSize";
import { MeasuredFigures } from "./MeasuredFigures";
import { Resource } from "./Resource";
import { RoleCapacity } from "./RoleCapacity";

const blocksPerSidecar = designSize.cachedBlocks / designSize.sidecars;
const eventsPerSecond = designSize.cacheEventsPerSecond / designSize.sidecars;
const dataArrivalsPerSecond = 50;

/**
 * Creates the section on a sidecar.
 * @param measuredFigures - The measured figures.
 */
export function createSidecarCapacity(measuredFigures: MeasuredFigures): RoleCapacity {
    const session = createSessionLines(measuredFigures);
    const getAchievedEventRate = (rate: number) => measuredFigures.getValue(`cacheEvents.${rate}.achieved`);
    const events = measuredFigures.fitLine("cacheEvents.{N}.processor", [300, 600, 2_400], 1_211, getAchievedEventRate);
    const arrivals = measuredFigures.fitLine("cacheEvents.arrivals.{N}.processor", [10, 25, 100], 50);
    const getAchievedStateRequestRate = (rate: number) => measuredFigures.getValue(`backendState.${rate}.achieved`);
    const stateRequests = measuredFigures.fitLine(
        "backendState.{N}.processor",
        [5, 20, 80],
        50,
        getAchievedStateRequestRate,
    );
    const indexMemory = measuredFigures.fitLine("companion.index.{N}.memory", [42_000, 84_000, 252_000], 168_421);
    const residentMemory = measuredFigures.fitLine(
        "entry.rest.{N}.resident",
        [0, 550, 1_100, 3_300],
        designSize.workspaces,
    );
    const eventSource = "scripts/measure/measureCacheEvents.ts";
    return {
        title: "Sidecar",
        isDedicatedInstance: false,
        state: [
            "The index of its engine's cached blocks: 168,421 hashes, an even share of 320 million blocks.",
            "The queue of its backend server, attempts in progress, and the tail of each response.",
            "The configuration and the directory, as in an entry; a lease; the highest fencing token seen.",
        ],
        lines: [
            {
                name: "The process with configuration and directory, as in an entry",
                resource: Resource.Memory,
                slope: residentMemory === undefined
                    ? undefined
                    : residentMemory.intercept + residentMemory.slope * designSize.workspaces,
                slopeUnit: "a process",
                count: 1,
                countName: "process",
                source: "scripts/measure/measureEntryMemory.ts",
                mechanism: "the same view and directory",
                folder: "src/sidecar",
            },
            {
                name: "Index of cached blocks",
                resource: Resource.Memory,
                slope: indexMemory?.slope,
                slopeUnit: "a block",
                count: blocksPerSidecar,
                countName: "blocks",
                source: "scripts/measure/measureCompanion.ts",
                mechanism: "a table of binary hashes for this engine alone; no process has an index of all engines",
                folder: "src/sidecar/prefixIndex",
            },
            {
                name: "Cache events: read, parsed and indexed",
                resource: Resource.Processor,
                slope: events?.slope,
                slopeUnit: "an event",
                count: eventsPerSecond,
                countName: "events/s",
                source: eventSource,
                mechanism: "events stay between an engine and its sidecar",
                folder: "src/backends, src/sidecar/prefixIndex",
                remedy: "fewer bytes for each event: binary events instead of lines of JSON",
            },
            {
                name: "Cache events: arrivals of data, 50 a second",
                resource: Resource.Processor,
                slope: arrivals?.slope,
                slopeUnit: "an arrival",
                count: dataArrivalsPerSecond,
                countName: "arrivals/s",
                source: eventSource,
                mechanism: "one read for all events that arrive together",
                folder: "src/backends",
                remedy:
                    "fewer arrivals: make the engine publish its events every 200 ms, or make the adapter pause its "
                    + "connection between reads; the index is then out of date by the same time",
            },
            {
                name: "Requests for the backend server's state, 5 a second",
                resource: Resource.Processor,
                slope: stateRequests?.slope,
                slopeUnit: "a request",
                count: 5,
                countName: "requests/s",
                source: eventSource,
                mechanism: "a request every 200 ms on a persistent connection",
                folder: "src/sidecar",
                remedy:
                    "a request every second while responses arrive, since they show that the engine is alive; 5 a second only when it is suspected",
            },
            ...session.lines,
        ],
        fits: [events, arrivals, stateRequests, indexMemory].filter(line => line !== undefined),
    };
}
