/*
 * The part of a control member that serves entry processes and sidecars. Connects sessions, leases, the directory, the
 * synchronization between members and the leader's tracking of what is in force.
 */
import { create } from "@bufbuild/protobuf";
import { createDirectory, PlatformInstance, startPlatformPoller } from "../../membership";
import { GaugeName } from "../../metrics";
import {
    ProcessRecord,
    ProcessRole,
    ProcessState,
    ShareStateRequest,
    ShareStateResponse,
    ShareStateResponseSchema,
} from "../../protocol";
import { createInForceTracker } from "./createInForceTracker";
import { createLeadership } from "./createLeadership";
import { createLeaseHolderTable } from "./createLeaseHolderTable";
import { createMemberLease } from "./createMemberLease";
import { createMemberReports } from "./createMemberReports";
import { createPlatformListTracker } from "./createPlatformListTracker";
import { createSessionHub } from "./createSessionHub";
import { createUpdateRouter } from "./createUpdateRouter";
import { Distribution } from "./Distribution";
import { DistributionOptions } from "./DistributionOptions";
import { getDifferingBuckets } from "./getDifferingBuckets";
import { getHolderKey } from "./getHolderKey";
import { InstanceStatus } from "./InstanceStatus";
import { leaseTimes } from "./leaseTimes";
import { sendShutdownNotice } from "./sendShutdownNotice";
import { serveSession } from "./serveSession";
import { startDirectoryMaintenance } from "./startDirectoryMaintenance";
import { startGroupSynchronizer } from "./startGroupSynchronizer";
import { startInForceWatch } from "./startInForceWatch";

const tickIntervalMilliseconds = 500;

/** Creates the distribution of one control member and starts its tasks. */
export function createDistribution(options: DistributionOptions): Distribution {
    const { identity, log, configuration, sidecarSet, peers, platformList, clock, logger, metrics } = options;
    const startedAt = clock.getMonotonicMilliseconds();
    const stopped = new AbortController();
    const directory = createDirectory({ clock });
    const leaseHolders = createLeaseHolderTable(clock);
    const reports = createMemberReports(clock);
    const platformListTracker = createPlatformListTracker(clock);
    const leadership = createLeadership(log, clock);
    const memberLease = createMemberLease(clock, leadership, configuration.getRevision);
    const tracker = createInForceTracker({
        log,
        leadership,
        leaseHolders,
        reports,
        sidecarSet,
        directory,
        clock,
        mayHaveMissedRemoval: () => !options.startsGroup && !haveFormerRunLeasesExpired(),
    });
    const watch = startInForceWatch(tracker, configuration.getRevision, clock, metrics);
    const router = createUpdateRouter({ identity, log, peers, reports, getHub: () => hub, logger });
    const hub = createSessionHub({
        configuration,
        sidecarSet,
        directory,
        leaseHolders,
        memberLease,
        isLeader: leadership.isAssured,
        getInitialEvents: options.getInitialEvents ?? (() => []),
        handleRecord: record => synchronizer.queueRecord(record.instanceId),
        handleUpdate: router.routeUpdate,
        clock,
        logger,
    });
    const synchronizer = startGroupSynchronizer(log, {
        identity,
        peers,
        directory,
        leaseHolders,
        getRevision: configuration.getRevision,
        coversFormerRun,
        hasStopped: () => stopped.signal.aborted,
        getLeaseMilliseconds: memberLease.getRemainingMilliseconds,
        handleRecords,
        handleLease: (response, sentAt) => {
            memberLease.applyResponse(response, sentAt);
            hub.grantPendingLeases();
        },
        clock,
    });
    const maintenance = startDirectoryMaintenance({
        leadership,
        directory,
        sidecarSet,
        tracker,
        leaseHolders,
        reports,
        platformListTracker,
        propose: options.propose,
        handleRecordChange: synchronizer.queueRecord,
        clock,
        logger,
    });
    const poller = platformList === undefined ? undefined : startPlatformPoller(platformList, clock, applyPlatformList);
    const removeListeners = [
        configuration.addListener(handleConfiguration),
        leadership.addListener(handleLeadership),
        leaseHolders.addListener(watch.wake),
    ];
    const tickTask = runTicks();
    metrics.addGauge(GaugeName.Sessions, hub.getCount);
    metrics.addGauge(GaugeName.DirectorySize, () => directory.getRecords().length);
    return {
        directory,
        leadership,
        serveSession: (updates, signal) => serveSession(hub, updates, signal),
        shareState,
        relay: router.relay,
        waitInForce: watch.wait,
        getInstances,
        sendEvent: router.sendEvent,
        broadcast: hub.broadcast,
        addUpdateHandler: router.addHandler,
        announceShutdown,
        stop,
    };

    /** Tells whether all leases that a former run of this member may have granted are over. */
    function haveFormerRunLeasesExpired(): boolean {
        return clock.getMonotonicMilliseconds() - startedAt >= leaseTimes.assumedLeaseMilliseconds;
    }

    function coversFormerRun(): boolean {
        return !options.hasFormerRun || haveFormerRunLeasesExpired();
    }

    function shareState(request: ShareStateRequest): ShareStateResponse {
        if (request.group !== identity.group || stopped.signal.aborted) {
            return create(ShareStateResponseSchema, { accepted: false });
        }
        handleRecords(request.records);
        const records = getDifferingRecords(request.digests);
        if (!leadership.isAssured() || !isMember(request.memberId)) {
            return create(ShareStateResponseSchema, { accepted: true, needsComplete: request.complete, records });
        }
        const reportResult = reports.apply(request);
        watch.wake();
        if (reportResult !== "applied") {
            return create(ShareStateResponseSchema, {
                accepted: reportResult !== "outdated",
                needsComplete: reportResult === "needsComplete",
                records,
            });
        }
        return { ...grantMemberLease(request), records };
    }

    function grantMemberLease(request: ShareStateRequest): ShareStateResponse {
        if (!request.stopped) {
            reports.recordLease(request.memberId);
        }
        return create(ShareStateResponseSchema, {
            accepted: true,
            leaseMilliseconds: request.stopped ? 0 : leaseTimes.leaseMilliseconds,
            term: leadership.getTerm(),
            configurationRevision: configuration.getRevision(),
        });
    }

    function isMember(memberId: string): boolean {
        return log.getStatus().members.some(member => member.memberId === memberId);
    }

    function getDifferingRecords(digests: readonly bigint[]): ProcessRecord[] {
        if (digests.length === 0) {
            return [];
        }
        const buckets = getDifferingBuckets(directory.getDigests(), digests);
        return [...directory.getSidecarsInBuckets(buckets)];
    }

    function handleRecords(records: readonly ProcessRecord[]): void {
        records.forEach(directory.mergeRecord);
    }

    function applyPlatformList(instances: readonly PlatformInstance[]): void {
        platformListTracker.recordList(instances);
        directory.applyPlatformList(instances).forEach(record => synchronizer.queueRecord(record.instanceId));
    }

    function handleConfiguration(): void {
        watch.wake();
        synchronizer.wake();
        hub.grantPendingLeases();
    }

    function handleLeadership(): void {
        reports.clear();
        tracker.startTerm();
        watch.wake();
        hub.grantPendingLeases();
    }

    async function runTicks(): Promise<void> {
        while (!stopped.signal.aborted) {
            await clock.sleep(tickIntervalMilliseconds, stopped.signal);
            leaseHolders.getAll();
            hub.enforceTimeouts();
            hub.grantPendingLeases();
        }
    }

    function getInstances(): readonly InstanceStatus[] {
        const acknowledgements = tracker.getAcknowledgements();
        return directory.getRecords().map(record => {
            const acknowledgement = acknowledgements.get(getHolderKey(record));
            return {
                instanceId: record.instanceId,
                incarnation: record.incarnation,
                role: ProcessRole[record.role] as InstanceStatus["role"],
                state: ProcessState[record.state] as InstanceStatus["state"],
                dataCentre: record.dataCentre,
                address: record.address,
                serves: record.serves,
                version: record.version,
                revision: Number(acknowledgement?.revision ?? 0n),
                isHeard: acknowledgement !== undefined,
            };
        });
    }

    function announceShutdown(): Promise<void> {
        const addresses = log.getStatus().members
            .filter(({ memberId }) => memberId !== identity.memberId)
            .map(({ address }) => address);
        return sendShutdownNotice({
            identity,
            addresses,
            peers,
            leaseHolders,
            revision: configuration.getRevision(),
            coversFormerRun: coversFormerRun(),
            clock,
        });
    }

    /**
     * Stops granting leases, closes the sessions so that processes connect to other members, and reports both to the
     * leader.
     */
    async function stop(): Promise<void> {
        stopped.abort();
        memberLease.end();
        await poller?.stop();
        await maintenance.stop();
        await hub.stop();
        synchronizer.wake();
        await synchronizer.stop();
        await watch.stop();
        removeListeners.forEach(remove => remove());
        await leadership.stop();
        await tickTask;
    }
}
