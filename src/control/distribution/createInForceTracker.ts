/*
 * The leader's decision on which configuration revisions are in force. A revision is in force once
 * - every control member grants leases only for it or newer ones, or its own lease is over;
 * - every process that may hold a lease has acknowledged it, or its lease is over;
 * - a majority of the sidecars has acknowledged it, so that no process without a lease finds a majority that has not.
 * A new leader has no record of the leases that the former leader granted. It waits until they must be over, unless all
 * members that may have had one have reported.
 */
import { peerConfirmationPromiseMilliseconds } from "../../membership";
import { LeaseHolder } from "../../protocol";
import { getHolderKey } from "./getHolderKey";
import { InForceCheck } from "./InForceCheck";
import { InForceTracker } from "./InForceTracker";
import { InForceTrackerOptions } from "./InForceTrackerOptions";
import { leaseTimes } from "./leaseTimes";
import { MemberReport } from "./MemberReport";
import { ProcessAcknowledgement } from "./ProcessAcknowledgement";

/** Covers clocks of leader and sidecar that run at different rates. */
const clockDriftFactor = 1.05;
/** Shown to operators, in whose interface sidecars are called companions. */
const sidecarMajorityLabel = "a majority of the companions";

/** Creates the in-force tracker of one control member. */
export function createInForceTracker(options: InForceTrackerOptions): InForceTracker {
    const { log, leadership, leaseHolders, reports, sidecarSet, directory, clock, mayHaveMissedRemoval } = options;
    let trackedSince = new Map<string, number>();
    let acknowledgements = new Map<string, ProcessAcknowledgement>();
    let highestInForce = 0n;
    return { check, getAcknowledgements, isSidecarSetEstablished, startTerm };

    function startTerm(): void {
        trackedSince = new Map();
        highestInForce = 0n;
    }

    function check(revision: bigint): InForceCheck {
        if (!leadership.isAssured()) {
            return { kind: "noLeader" };
        }
        if (revision <= highestInForce) {
            return { kind: "inForce" };
        }
        acknowledgements = collectAcknowledgements();
        const waitingFor = new Set([
            ...getPendingMembers(revision),
            ...getPendingProcesses(revision),
            ...getPendingSidecars(revision),
        ]);
        if (waitingFor.size > 0) {
            return { kind: "pending", waitingFor: [...waitingFor] };
        }
        highestInForce = revision;
        return { kind: "inForce" };
    }

    function getAcknowledgements(): ReadonlyMap<string, ProcessAcknowledgement> {
        acknowledgements = collectAcknowledgements();
        return acknowledgements;
    }

    /** Gets the addresses of the members that may grant, or may have granted, leases for older revisions. */
    function getPendingMembers(revision: bigint): string[] {
        const { memberId: ownId, members } = log.getStatus();
        const haveFormerLeasesExpired = leadership.getAgeMilliseconds() >= leaseTimes.assumedLeaseMilliseconds;
        const unreported = members
            .filter(({ memberId }) =>
                memberId !== ownId && !areLeasesReported(reports.get(memberId), haveFormerLeasesExpired)
            )
            .map(({ address }) => address);
        const outdated = reports.getAll().filter(report => mayGrantLeases(report) && report.revision < revision);
        const removed = haveFormerLeasesExpired || !mayHaveMissedRemoval() ? [] : ["members that were removed"];
        return [...unreported, ...outdated.map(report => report.address), ...removed];
    }

    /** Tells whether the leader has a record of all running leases that a member may have granted. */
    function areLeasesReported(report: MemberReport | undefined, haveFormerLeasesExpired: boolean): boolean {
        return haveFormerLeasesExpired || report !== undefined && report.coversFormerRun;
    }

    function mayGrantLeases(report: MemberReport): boolean {
        return !report.hasStopped && report.leaseAssumedUntilMilliseconds > clock.getMonotonicMilliseconds();
    }

    /** Gets the processes whose leases may let them act on older revisions. */
    function getPendingProcesses(revision: bigint): string[] {
        return getHolders()
            .filter(holder => acknowledgements.get(getHolderKey(holder))!.revision < revision)
            .map(holder => holder.instanceId);
    }

    /** Gets all processes whose leases may still run, from whichever member they have them. */
    function getHolders(): { instanceId: string; incarnation: string; }[] {
        const now = clock.getMonotonicMilliseconds();
        const own = leaseHolders.getAll().filter(holder => holder.leaseExpiresAtMilliseconds > now);
        const reported = reports.getAll()
            .filter(report => report.leaseAssumedUntilMilliseconds > now || mayFormerLeasesRun())
            .flatMap(report => [...report.holders.values()]);
        return [...own, ...reported];
    }

    /** Tells whether leases from the time of a former leader may still run. */
    function mayFormerLeasesRun(): boolean {
        return leadership.getAgeMilliseconds() < leaseTimes.assumedLeaseMilliseconds;
    }

    function getPendingSidecars(revision: bigint): string[] {
        const hasAcknowledged = (acknowledgement: ProcessAcknowledgement) => acknowledgement.revision >= revision;
        const hasMajority = isMajorityMatching(sidecarSet.getMembers(), hasAcknowledged)
            && (isNewestSetAcknowledged() || isMajorityMatching(sidecarSet.getFormerMembers(), hasAcknowledged));
        return hasMajority ? [] : [sidecarMajorityLabel];
    }

    function isSidecarSetEstablished(): boolean {
        acknowledgements = collectAcknowledgements();
        return isNewestSetAcknowledged();
    }

    /** Tells whether majorities of the newest sidecar set and of the one before have acknowledged the newest. */
    function isNewestSetAcknowledged(): boolean {
        const { number } = sidecarSet.getSet();
        const hasAcknowledgedSet = (acknowledgement: ProcessAcknowledgement) =>
            acknowledgement.companionSetNumber >= number;
        return isMajorityMatching(sidecarSet.getMembers(), hasAcknowledgedSet)
            && isMajorityMatching(sidecarSet.getFormerMembers(), hasAcknowledgedSet);
    }

    function isMajorityMatching(
        members: ReadonlyMap<string, string>,
        predicate: (acknowledgement: ProcessAcknowledgement) => boolean,
    ): boolean {
        const matchingCount = [...members].filter(([instanceId, addedIncarnation]) => {
            const acknowledgement = getEffectiveAcknowledgement(instanceId, addedIncarnation);
            return acknowledgement !== undefined && predicate(acknowledgement);
        }).length;
        return members.size === 0 || matchingCount * 2 > members.size;
    }

    /**
     * Gets what a sidecar's newest run has acknowledged. A run after a restart counts only once the promises that the
     * former run made with its peer confirmations are over.
     */
    function getEffectiveAcknowledgement(instanceId: string, addedIncarnation: string) {
        const incarnation = directory.getRecord(instanceId)?.incarnation;
        if (incarnation === undefined) {
            return undefined;
        }
        const acknowledgement = acknowledgements.get(getHolderKey({ instanceId, incarnation }));
        if (acknowledgement === undefined || incarnation === addedIncarnation) {
            return acknowledgement;
        }
        const ageMilliseconds = clock.getMonotonicMilliseconds() - acknowledgement.trackedSinceMilliseconds;
        return ageMilliseconds >= peerConfirmationPromiseMilliseconds * clockDriftFactor ? acknowledgement : undefined;
    }

    /** Gets the highest numbers that each run has acknowledged to any member. */
    function collectAcknowledgements(): Map<string, ProcessAcknowledgement> {
        const collected = new Map<string, ProcessAcknowledgement>();
        const now = clock.getMonotonicMilliseconds();
        for (const holder of leaseHolders.getAll()) {
            addAcknowledgement(collected, holder, holder.revision, now);
        }
        for (const report of reports.getAll()) {
            for (const holder of report.holders.values()) {
                addAcknowledgement(collected, holder, holder.configurationRevision, now);
            }
        }
        trackedSince = new Map(
            [...collected].map(([key, { trackedSinceMilliseconds }]) => [key, trackedSinceMilliseconds]),
        );
        return collected;
    }

    function addAcknowledgement(
        collected: Map<string, ProcessAcknowledgement>,
        holder: Pick<LeaseHolder, "instanceId" | "incarnation" | "companionSetNumber">,
        revision: bigint,
        now: number,
    ): void {
        const key = getHolderKey(holder);
        const former = collected.get(key);
        collected.set(key, {
            instanceId: holder.instanceId,
            incarnation: holder.incarnation,
            revision: getGreater(former?.revision ?? 0n, revision),
            companionSetNumber: getGreater(former?.companionSetNumber ?? 0n, holder.companionSetNumber),
            trackedSinceMilliseconds: trackedSince.get(key) ?? now,
        });
    }
}

function getGreater(first: bigint, second: bigint): bigint {
    return first > second ? first : second;
}
