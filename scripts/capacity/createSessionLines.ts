/*
 * The resource use of the session with a control member, which is the same in an entry and in a sidecar.
 */
import { CapacityLine } from "./CapacityLine";
import { designSize } from "./designSize";
import { FittedLine } from "./FittedLine";
import { MeasuredFigures } from "./MeasuredFigures";
import { Resource } from "./Resource";

const fittedCounts = [10, 50, 100, 200];
const validationCount = 150;
const renewalIntervalSeconds = 0.9;
const recordsPerDataCentre = (designSize.entries + designSize.sidecars) / designSize.dataCentres;
const recordVersionsPerSecond = designSize.replacementsPerSecond * designSize.recordVersionsPerReplacement;
/** The time over which the directory reports the loss of a data centre. */
const dataCentreLossSeconds = 10;
const folder = "src/membership";

/**
 * Creates the lines of a session, and the fits that their slopes come from.
 * @param measuredFigures - The measured figures.
 */
export function createSessionLines(measuredFigures: MeasuredFigures): { lines: CapacityLine[]; fits: FittedLine[]; } {
    const fitSessionLine = (name: string) =>
        measuredFigures.fitLine(`sessionClient.{N}.${name}`, fittedCounts, validationCount);
    const idleProcessor = fitSessionLine("rest.processor");
    const idleReceivedBytes = fitSessionLine("rest.received");
    const idleSentBytes = fitSessionLine("rest.sent");
    const configurationProcessor = fitSessionLine("change.processor");
    const configurationBytes = fitSessionLine("change.bytes");
    const directoryProcessor = fitSessionLine("directory.processor");
    const directoryBytes = fitSessionLine("directory.bytes");
    const source = "scripts/measure/measureSessionClient.ts";
    const session = { source, folder, countName: "session", count: 1, slopeUnit: "a session" };
    const lines: CapacityLine[] = [
        {
            ...session,
            name: "Idle session: lease renewals and acknowledgements",
            resource: Resource.Processor,
            slope: idleProcessor?.slope,
            mechanism: "one stream to one control member; no heartbeats between processes",
        },
        {
            ...session,
            name: "Idle session, in and out",
            resource: Resource.Traffic,
            slope: addMeasured(idleReceivedBytes?.slope, idleSentBytes?.slope),
            mechanism: "the same stream",
        },
        {
            ...session,
            name: "Lease renewals, in and out",
            resource: Resource.Messages,
            slope: 2 / renewalIntervalSeconds,
            source: "the renewal interval, 0.9 s",
            mechanism: "one renewal requested and granted",
        },
        {
            ...session,
            name: "Changes of the configuration",
            resource: Resource.Processor,
            slope: configurationProcessor?.slope,
            slopeUnit: "a change",
            count: designSize.changesPerSecond,
            countName: "changes/s",
            mechanism: "deltas with increasing revisions, each with one acknowledgement",
        },
        {
            ...session,
            name: "Changes of the configuration, in and out",
            resource: Resource.Traffic,
            slope: configurationBytes?.slope,
            slopeUnit: "a change",
            count: designSize.changesPerSecond,
            countName: "changes/s",
            mechanism: "deltas",
        },
        {
            ...session,
            name: "Changes in the directory",
            resource: Resource.Processor,
            slope: directoryProcessor?.slope,
            slopeUnit: "a record's version",
            count: recordVersionsPerSecond,
            countName: "record versions/s",
            mechanism: "numbered records, sent to the processes that need them",
        },
        {
            ...session,
            name: "Loss of a data centre, spread over 10 s",
            resource: Resource.Traffic,
            slope: directoryBytes?.slope,
            slopeUnit: "a record's version",
            count: recordsPerDataCentre / dataCentreLossSeconds,
            countName: "record versions/s for 10 s",
            mechanism: "directory deltas; the data path suspects the lost processes earlier",
        },
        {
            ...session,
            name: "Loss of a data centre, spread over 10 s",
            resource: Resource.Processor,
            slope: directoryProcessor?.slope,
            slopeUnit: "a record's version",
            count: recordsPerDataCentre / dataCentreLossSeconds,
            countName: "record versions/s for 10 s",
            mechanism: "directory deltas",
        },
    ];
    const fits = [
        idleProcessor,
        idleReceivedBytes,
        idleSentBytes,
        configurationProcessor,
        configurationBytes,
        directoryProcessor,
        directoryBytes,
    ];
    return { lines, fits: fits.filter(line => line !== undefined) };
}

/** Adds two slopes; undefined if one of them is not measured. */
function addMeasured(left: number | undefined, right: number | undefined): number | undefined {
    return left === undefined || right === undefined ? undefined : left + right;
}
