/*
 * The part of a control member that serves entries and sidecars: wires sessions, leases, the directory, the sharing
 * between members and the leader's counting together.
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
import { createHeldLeases } from "./createHeldLeases";
import { createInForceTracker } from "./createInForceTracker";
import { createLeadership } from "./createLeadership";
import { createMemberLease } from "./createMemberLease";
import { createMemberReports } from "./createMemberReports";
import { createPlatformPresence } from "./createPlatformPresence";
import { createSessionHub } from "./createSessionHub";
import { createUpdateRouter } from "./createUpdateRouter";
import { Distribution } from "./Distribution";
import { DistributionOptions } from "./DistributionOptions";
import { getDifferingBuckets } from "./getDifferingBuckets";
import { getHolderKey } from "./getHolderKey";
import { InstanceStatus } from "./InstanceStatus";
import { leaseTimes } from "./leaseTimes";
import { sendFarewell } from "./sendFarewell";
import { serveSession } from "./serveSession";
import { startDirectoryUpkeep } from "./startDirectoryUpkeep";
import { startInForceWatch } from "./startInForceWatch";
import { startPeerSharings } from "./startPeerSharings";

const tickMilliseconds = 500;

/** Creates the distribution of one control member and starts its tasks. */
export function createDistribution(options: DistributionOptions): Distribution {
    const { identity, log, configuration, sidecarSet, peers, platformList, clock, logger, metrics } = options;
    const startedAt = clock.getMonotonicMilliseconds();
    const stopped = new AbortController();
    const directory = createDirectory({ clock });
    const heldLeases = createHeldLeases(clock);
    const reports = createMemberReports(clock);
    const presence = createPlatformPresence(clock);
    const leadership = createLeadership(log, clock);
    const memberLease = createMemberLease(clock, leadership, configuration.getRevision);
    const tracker = createInForceTracker({
        log,
        leadership,
        heldLeases,
        reports,
        sidecarSet,
        directory,
        clock,
        mayHaveMissedRemoval: () => !options.startsGroup && !hasOutlivedFormerRun(),
    });
    const watch = startInForceWatch(tracker, configuration.getRevision, clock, metrics);
    const router = createUpdateRouter({ identity, log, peers, reports, getHub: () => hub, logger });
    const hub = createSessionHub({
        configuration,
        sidecarSet,
        directory,
        heldLeases,
        memberLease,
        isLeader: leadership.isAssured,
        getInitialEvents: options.getInitialEvents ?? (() => []),
        handleRecord: record => sharings.addRecord(record.instanceId),
        handleUpdate: router.handleUpdate,
        clock,
        logger,
    });
    const sharings = startPeerSharings(log, {
        identity,
        peers,
        directory,
        heldLeases,
        getRevision: configuration.getRevision,
        coversFormerRun,
        hasStopped: () => stopped.signal.aborted,
        getLeaseMilliseconds: memberLease.getRemainingMilliseconds,
        handleRecords,
        handleLease: (answer, sentAt) => {
            memberLease.addAnswer(answer, sentAt);
            hub.answerWaiting();
        },
        clock,
    });
    const upkeep = startDirectoryUpkeep({
        leadership,
        directory,
        sidecarSet,
        tracker,
        heldLeases,
        reports,
        presence,
        propose: options.propose,
        handleRecord: sharings.addRecord,
        clock,
        logger,
    });
    const poller = platformList === undefined ? undefined : startPlatformPoller(platformList, clock, takePlatformList);
    const removeListeners = [
        configuration.addListener(handleConfiguration),
        leadership.addListener(handleLeadership),
        heldLeases.addListener(watch.wake),
    ];
    const ticking = tick();
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
        sayFarewell,
        stop,
    };

    /** Tells whether all leases are over that a former run of this member may have given. */
    function hasOutlivedFormerRun(): boolean {
        return clock.getMonotonicMilliseconds() - startedAt >= leaseTimes.countedMilliseconds;
    }

    function coversFormerRun(): boolean {
        return !options.hasFormerRun || hasOutlivedFormerRun();
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
        const taken = reports.take(request);
        watch.wake();
        if (taken !== "taken") {
            return create(ShareStateResponseSchema, {
                accepted: taken !== "late",
                needsComplete: taken === "needsComplete",
                records,
            });
        }
        return { ...grantMemberLease(request), records };
    }

    function grantMemberLease(request: ShareStateRequest): ShareStateResponse {
        if (!request.stopped) {
            reports.noteLease(request.memberId);
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

    function takePlatformList(instances: readonly PlatformInstance[]): void {
        presence.apply(instances);
        directory.applyPlatformList(instances).forEach(record => sharings.addRecord(record.instanceId));
    }

    function handleConfiguration(): void {
        watch.wake();
        sharings.wake();
        hub.answerWaiting();
    }

    function handleLeadership(): void {
        reports.clear();
        tracker.startTerm();
        watch.wake();
        hub.answerWaiting();
    }

    async function tick(): Promise<void> {
        while (!stopped.signal.aborted) {
            await clock.sleep(tickMilliseconds, stopped.signal);
            heldLeases.getAll();
            hub.closeSilent();
            hub.answerWaiting();
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

    function sayFarewell(): Promise<void> {
        const addresses = log.getStatus().members
            .filter(({ memberId }) => memberId !== identity.memberId)
            .map(({ address }) => address);
        return sendFarewell({
            identity,
            addresses,
            peers,
            heldLeases,
            revision: configuration.getRevision(),
            coversFormerRun: coversFormerRun(),
            clock,
        });
    }

    /** Gives no leases any more, sends the processes to other members, and tells the leader so. */
    async function stop(): Promise<void> {
        stopped.abort();
        memberLease.end();
        await poller?.stop();
        await upkeep.stop();
        await hub.stop();
        sharings.wake();
        await sharings.stop();
        await watch.stop();
        removeListeners.forEach(remove => remove());
        await leadership.stop();
        await ticking;
    }
}
