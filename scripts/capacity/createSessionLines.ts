/*
 * What the session with a control member costs an entry or a sidecar: the same in both.
 */
import { CapacityLine } from "./CapacityLine";
import { designSize } from "./designSize";
import { FigureBook } from "./FigureBook";
import { FittedLine } from "./FittedLine";
import { Resource } from "./Resource";

const fittedCounts = [10, 50, 100, 200];
const checkCount = 150;
const restSeconds = 0.9;
const dataCentreRecords = (designSize.entries + designSize.sidecars) / designSize.dataCentres;
const recordVersions = designSize.replacementsPerSecond * designSize.recordVersionsPerReplacement;
const folder = "src/membership";

/** Creates the lines of a session, and the fits that they rest on. */
export function createSessionLines(book: FigureBook): { lines: CapacityLine[]; fits: FittedLine[]; } {
    const fit = (name: string) => book.fit(`sessionClient.{N}.${name}`, fittedCounts, checkCount);
    const rest = fit("rest.processor");
    const received = fit("rest.received");
    const sent = fit("rest.sent");
    const change = fit("change.processor");
    const changeBytes = fit("change.bytes");
    const update = fit("directory.processor");
    const updateBytes = fit("directory.bytes");
    const source = "scripts/measure/measureSessionClient.ts";
    const session = { source, folder, countName: "session", count: 1, slopeUnit: "a session" };
    const lines: CapacityLine[] = [
        {
            ...session,
            name: "Session at rest: lease renewals and acknowledgements",
            resource: Resource.Processor,
            slope: rest?.slope,
            mechanism: "one stream to one control member; no heartbeats between processes",
        },
        {
            ...session,
            name: "Session at rest, in and out",
            resource: Resource.Traffic,
            slope: add(received?.slope, sent?.slope),
            mechanism: "the same stream",
        },
        {
            ...session,
            name: "Lease renewals, in and out",
            resource: Resource.Messages,
            slope: 2 / restSeconds,
            source: "the renewal interval, 0.9 s",
            mechanism: "one renewal asked for and granted",
        },
        {
            ...session,
            name: "Changes of the configuration",
            resource: Resource.Processor,
            slope: change?.slope,
            slopeUnit: "a change",
            count: designSize.changesPerSecond,
            countName: "changes/s",
            mechanism: "deltas under growing revisions, with one acknowledgement each",
        },
        {
            ...session,
            name: "Changes of the configuration, in and out",
            resource: Resource.Traffic,
            slope: changeBytes?.slope,
            slopeUnit: "a change",
            count: designSize.changesPerSecond,
            countName: "changes/s",
            mechanism: "deltas",
        },
        {
            ...session,
            name: "Changes in the directory",
            resource: Resource.Processor,
            slope: update?.slope,
            slopeUnit: "a record's version",
            count: recordVersions,
            countName: "record versions/s",
            mechanism: "records with numbers, sent to those who need them",
        },
        {
            ...session,
            name: "A data centre's loss, spread over 10 s",
            resource: Resource.Traffic,
            slope: updateBytes?.slope,
            slopeUnit: "a record's version",
            count: dataCentreRecords / 10,
            countName: "record versions/s for 10 s",
            mechanism: "directory deltas; suspicion on the data path comes first",
        },
        {
            ...session,
            name: "A data centre's loss, spread over 10 s",
            resource: Resource.Processor,
            slope: update?.slope,
            slopeUnit: "a record's version",
            count: dataCentreRecords / 10,
            countName: "record versions/s for 10 s",
            mechanism: "directory deltas",
        },
    ];
    const fits = [rest, received, sent, change, changeBytes, update, updateBytes];
    return { lines, fits: fits.filter(line => line !== undefined) };
}

function add(left: number | undefined, right: number | undefined): number | undefined {
    return left === undefined || right === undefined ? undefined : left + right;
}
