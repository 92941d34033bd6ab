/*
 * The resource use of a control member, as the leader of its region's group or as a follower.
 */
import { CapacityLine } from "./CapacityLine";
import { designSize } from "./designSize";
import { MeasuredFigures } from "./MeasuredFigures";
import { Resource } from "./Resource";
import { RoleCapacity } from "./RoleCapacity";

const streamsPerRegion = (designSize.entries + designSize.sidecars) / designSize.regions;
const streamsPerMember = streamsPerRegion / designSize.controlMembersPerRegion;
const streamsPerMemberAfterLoss = streamsPerRegion / (designSize.controlMembersPerRegion - 1);
const claimsPerSecond = designSize.requestsPerSecond * designSize.claimedShare / designSize.regions;
const recordVersionsPerSecond = designSize.replacementsPerSecond * designSize.recordVersionsPerReplacement;
const renewalsPerSecond = 1 / 0.9;
const heartbeatsPerSecond = 4;
const sessionSource = "scripts/measure/measureSessions.ts";
const logSource = "scripts/measure/measureControlLog.ts";
const fittedStreams = [100, 200, 400, 500];

/**
 * Creates the section on a control member.
 * @param measuredFigures - The measured figures.
 * @param logRole - The member's role in the replicated log.
 */
export function createControlCapacity(measuredFigures: MeasuredFigures, logRole: "leader" | "follower"): RoleCapacity {
    const fitSessionsLine = (name: string) => measuredFigures.fitLine(`sessions.{N}.${name}`, fittedStreams, 300);
    const getAchievedClaimRate = (rate: number) => measuredFigures.getValue(`controlLog.${rate}.achieved`);
    const getRetainedClaimCount = (rate: number) => measuredFigures.getValue(`controlLog.${rate}.claimsHeld`);
    const idleProcessor = fitSessionsLine("rest.processor");
    const idleBytes = fitSessionsLine("rest.bytes");
    const sessionMemory = fitSessionsLine("memory");
    const configurationProcessor = fitSessionsLine("change.processor");
    const configurationBytes = fitSessionsLine("change.bytes");
    const directoryProcessor = fitSessionsLine("directory.processor");
    const claimProcessor = measuredFigures.fitLine(
        `controlLog.{N}.${logRole}`,
        [50, 100, 300],
        200,
        getAchievedClaimRate,
    );
    const retainedClaims = measuredFigures.fitLine(
        "controlLog.{N}.leaderHeap",
        [0, 50, 100, 300],
        200,
        getRetainedClaimCount,
    );
    const session = { source: sessionSource, folder: "src/control/distribution" };
    const sessions = { ...session, slopeUnit: "a session", count: streamsPerMember, countName: "sessions" };
    const log = { source: logSource, folder: "src/control/consensus, src/control/claims" };
    const lines: CapacityLine[] = [
        {
            ...sessions,
            name: "Idle sessions",
            resource: Resource.Processor,
            slope: idleProcessor?.slope,
            mechanism: "sessions are distributed over all members, including followers; leases are relayed",
        },
        {
            ...sessions,
            name: "The member without sessions",
            resource: Resource.Processor,
            slope: idleProcessor?.intercept,
            slopeUnit: "a member",
            count: 1,
            countName: "member",
            mechanism: "one task for each peer; heartbeats every 250 ms",
        },
        {
            ...sessions,
            name: "Idle sessions during the loss of one member of the region: increase",
            resource: Resource.Processor,
            slope: idleProcessor?.slope,
            count: streamsPerMemberAfterLoss - streamsPerMember,
            mechanism: "processes open their streams to another member",
        },
        {
            ...sessions,
            name: "Idle sessions, in and out",
            resource: Resource.Traffic,
            slope: idleBytes?.slope,
            mechanism: "one stream for each process",
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
            count: logRole === "leader" ? designSize.controlMembersPerRegion - 1 : 1,
            countName: "peers",
            source: "the heartbeat interval, 250 ms",
            mechanism: "appends of the replicated log, empty while idle",
            folder: "src/control/consensus",
        },
        {
            ...session,
            name: "Changes of the configuration, sent to all sessions of the member",
            resource: Resource.Processor,
            slope: configurationProcessor === undefined
                ? undefined
                : configurationProcessor.intercept + configurationProcessor.slope * streamsPerMember,
            slopeUnit: "a change at this many sessions",
            count: designSize.changesPerSecond,
            countName: "changes/s",
            mechanism: "a delta is encoded once; acknowledgements are counted at each member",
        },
        {
            ...session,
            name: "Changes of the configuration, in and out",
            resource: Resource.Traffic,
            slope: configurationBytes === undefined
                ? undefined
                : configurationBytes.intercept + configurationBytes.slope * streamsPerMember,
            slopeUnit: "a change at this many sessions",
            count: designSize.changesPerSecond,
            countName: "changes/s",
            mechanism: "deltas",
        },
        {
            ...session,
            name: "Changes in the directory, sent to the sessions of the member",
            resource: Resource.Processor,
            slope: directoryProcessor === undefined
                ? undefined
                : directoryProcessor.intercept + directoryProcessor.slope * streamsPerMember,
            slopeUnit: "a record's version at this many sessions",
            count: recordVersionsPerSecond,
            countName: "record versions/s",
            mechanism: "directory deltas, batched over a short time",
        },
        {
            ...log,
            name: `Claims, opened and settled, at the ${logRole}`,
            resource: Resource.Processor,
            slope: claimProcessor?.slope,
            slopeUnit: "a claim",
            count: claimsPerSecond,
            countName: "claims/s a region",
            mechanism: "group commit: commands that arrive together share one write and one append",
        },
        {
            ...log,
            name: `Claims at a low rate, with one or few in each batch, at the ${logRole}`,
            resource: Resource.Processor,
            slope: claimProcessor?.intercept,
            slopeUnit: "a member",
            count: 1,
            countName: "member",
            mechanism: "the part of the cost of batches that does not increase with the rate",
            remedy: "longer batching at the client, for fewer and larger batches",
        },
        {
            ...sessions,
            name: "The process and its sessions",
            resource: Resource.Memory,
            slope: sessionMemory === undefined
                ? undefined
                : sessionMemory.intercept + sessionMemory.slope * streamsPerMember,
            slopeUnit: "a member at this many sessions",
            count: 1,
            countName: "member",
            mechanism: "one feed for each session, with shared state",
        },
        {
            ...log,
            name: "Claims retained for resends, with responses of 300 bytes, for one hour",
            resource: Resource.Memory,
            slope: retainedClaims?.slope,
            slopeUnit: "a claim",
            count: claimsPerSecond * 3_600,
            countName: "claims",
            mechanism: "limits in bytes and in keys, which are replicated in the log",
            remedy: "a shorter retention, which is a setting; or claims partitioned by workspace over several groups",
        },
        {
            ...session,
            name: "A change in force at every session, the maximum of 20 at 500 sessions",
            resource: Resource.Time,
            slope: measuredFigures.getValue("sessions.500.change.inForceMaximum"),
            slopeUnit: "a change",
            count: 1,
            countName: "change",
            mechanism: "acknowledgements, or the expiry of a lease within 10.5 s",
        },
    ];
    return {
        title: logRole === "leader" ? "Control leader" : "Follower and other control members",
        isDedicatedInstance: true,
        state: [
            "The replicated log on disk; the configuration tree, claims, quarantine and rollouts in memory.",
            "The directory of both regions; one feed for each of its sessions.",
            logRole === "leader"
                ? "The leases of all members, and the revision that each process has acknowledged."
                : "The lease that the leader granted to it, within which it grants leases to its sessions.",
        ],
        lines,
        fits: [
            idleProcessor,
            idleBytes,
            sessionMemory,
            configurationProcessor,
            configurationBytes,
            directoryProcessor,
            claimProcessor,
            retainedClaims,
        ].filter(line => line !== undefined),
    };
}
