/*
 * What a control member uses, as the leader of its region's group or as a follower.
 */
import { CapacityLine } from "./CapacityLine";
import { designSize } from "./designSize";
import { FigureBook } from "./FigureBook";
import { Resource } from "./Resource";
import { RoleCapacity } from "./RoleCapacity";

const streamsPerRegion = (designSize.entries + designSize.sidecars) / designSize.regions;
const streams = streamsPerRegion / designSize.controlMembersPerRegion;
const streamsWithOneLost = streamsPerRegion / (designSize.controlMembersPerRegion - 1);
const claimsPerSecond = designSize.requestsPerSecond * designSize.claimedShare / designSize.regions;
const recordVersions = designSize.replacementsPerSecond * designSize.recordVersionsPerReplacement;
const renewalsPerSecond = 1 / 0.9;
const heartbeatsPerSecond = 4;
const sessionSource = "scripts/measure/measureSessions.ts";
const logSource = "scripts/measure/measureControlLog.ts";
const fittedStreams = [100, 200, 400, 500];

/**
 * Creates the lines of a control member.
 * @param part - Which part the member plays.
 */
export function createControlCapacity(book: FigureBook, part: "leader" | "follower"): RoleCapacity {
    const fit = (name: string) => book.fit(`sessions.{N}.${name}`, fittedStreams, 300);
    const getClaims = (rate: number) => book.getValue(`controlLog.${rate}.achieved`);
    const getHeld = (rate: number) => book.getValue(`controlLog.${rate}.claimsHeld`);
    const rest = fit("rest.processor");
    const restBytes = fit("rest.bytes");
    const memory = fit("memory");
    const change = fit("change.processor");
    const changeBytes = fit("change.bytes");
    const directory = fit("directory.processor");
    const claims = book.fit(`controlLog.{N}.${part}`, [50, 100, 300], 200, getClaims);
    const held = book.fit("controlLog.{N}.leaderHeap", [0, 50, 100, 300], 200, getHeld);
    const session = { source: sessionSource, folder: "src/control/distribution" };
    const sessions = { ...session, slopeUnit: "a session", count: streams, countName: "sessions" };
    const log = { source: logSource, folder: "src/control/consensus, src/control/claims" };
    const lines: CapacityLine[] = [
        {
            ...sessions,
            name: "Sessions at rest",
            resource: Resource.Processor,
            slope: rest?.slope,
            mechanism: "sessions are spread over all members, followers too; leases are relayed",
        },
        {
            ...sessions,
            name: "The member without sessions",
            resource: Resource.Processor,
            slope: rest?.intercept,
            slopeUnit: "a member",
            count: 1,
            countName: "member",
            mechanism: "one task for each peer; heartbeats each 250 ms",
        },
        {
            ...sessions,
            name: "Sessions at rest while one member of the region is lost: what is added",
            resource: Resource.Processor,
            slope: rest?.slope,
            count: streamsWithOneLost - streams,
            mechanism: "processes open their stream at another member",
        },
        {
            ...sessions,
            name: "Sessions at rest, in and out",
            resource: Resource.Traffic,
            slope: restBytes?.slope,
            mechanism: "one stream a process",
        },
        {
            ...sessions,
            name: "Lease renewals, in and out",
            resource: Resource.Messages,
            slope: 2 * renewalsPerSecond,
            source: "the renewal interval, 0.9 s",
            mechanism: "leases in batches from the leader, relayed by each member",
        },
        {
            ...session,
            name: "Heartbeats, in and out",
            resource: Resource.Messages,
            slope: 2 * heartbeatsPerSecond,
            slopeUnit: "a peer",
            count: part === "leader" ? designSize.controlMembersPerRegion - 1 : 1,
            countName: "peers",
            source: "the heartbeat interval, 250 ms",
            mechanism: "appends of the replicated log, empty at rest",
            folder: "src/control/consensus",
        },
        {
            ...session,
            name: "Changes of the configuration, sent to all sessions here",
            resource: Resource.Processor,
            slope: change === undefined ? undefined : change.intercept + change.slope * streams,
            slopeUnit: "a change at this many sessions",
            count: designSize.changesPerSecond,
            countName: "changes/s",
            mechanism: "a delta is encoded once; acknowledgements are counted at each member",
        },
        {
            ...session,
            name: "Changes of the configuration, in and out",
            resource: Resource.Traffic,
            slope: changeBytes === undefined ? undefined : changeBytes.intercept + changeBytes.slope * streams,
            slopeUnit: "a change at this many sessions",
            count: designSize.changesPerSecond,
            countName: "changes/s",
            mechanism: "deltas",
        },
        {
            ...session,
            name: "Changes in the directory, sent to the sessions here",
            resource: Resource.Processor,
            slope: directory === undefined ? undefined : directory.intercept + directory.slope * streams,
            slopeUnit: "a record's version at this many sessions",
            count: recordVersions,
            countName: "record versions/s",
            mechanism: "directory deltas, gathered over a short time",
        },
        {
            ...log,
            name: `Claims, opened and settled, at the ${part}`,
            resource: Resource.Processor,
            slope: claims?.slope,
            slopeUnit: "a claim",
            count: claimsPerSecond,
            countName: "claims/s a region",
            mechanism: "group commit: commands that come together share one write and one append",
        },
        {
            ...log,
            name: `Claims at a low rate, each batch with one or few of them, at the ${part}`,
            resource: Resource.Processor,
            slope: claims?.intercept,
            slopeUnit: "a member",
            count: 1,
            countName: "member",
            mechanism: "the share of batches that does not grow with the rate",
            remedy: "longer gathering at the client, for fewer and larger batches",
        },
        {
            ...sessions,
            name: "The process and its sessions",
            resource: Resource.Memory,
            slope: memory === undefined ? undefined : memory.intercept + memory.slope * streams,
            slopeUnit: "a member at this many sessions",
            count: 1,
            countName: "member",
            mechanism: "one feed a session, shared state behind it",
        },
        {
            ...log,
            name: "Claims kept for resends, answers of 300 bytes, one hour",
            resource: Resource.Memory,
            slope: held?.slope,
            slopeUnit: "a claim",
            count: claimsPerSecond * 3_600,
            countName: "claims",
            mechanism: "bounds in bytes and in keys, which travel in the log",
            remedy: "retention is a setting; or claims divided over several groups by workspace",
        },
        {
            ...session,
            name: "A change in force at every session, the longest of 20 at 500 sessions",
            resource: Resource.Time,
            slope: book.getValue("sessions.500.change.inForceMaximum"),
            slopeUnit: "a change",
            count: 1,
            countName: "change",
            mechanism: "acknowledgements, or the lapse of a lease within 10.5 s",
        },
    ];
    return {
        title: part === "leader" ? "Control leader" : "Follower and other control members",
        isSetAside: true,
        state: [
            "The replicated log on disk; the configuration tree, claims, quarantine and rollouts in memory.",
            "The directory of both regions; one feed for each of its sessions.",
            part === "leader"
                ? "The leases of all members, and what each process has acknowledged."
                : "The lease that the leader gave it, from which it grants its sessions theirs.",
        ],
        lines,
        fits: [rest, restBytes, memory, change, changeBytes, directory, claims, held].filter(line =>
            line !== undefined
        ),
    };
}
