/*
 * The sessions of processes at this control member. Directory changes are sent in batches, configuration changes at once.
 */
import { create } from "@bufbuild/protobuf";
import { assertNever } from "../../errors";
import {
    Acknowledgement,
    DirectorySummary,
    DirectoryUpdateSchema,
    ProcessRecord,
    ProcessRole,
    ProcessState,
    SessionEvent,
    SessionUpdate,
} from "../../protocol";
import { AsyncQueue, createWakeup } from "../../runtime";
import { createSessionEvent } from "./createSessionEvent";
import { createSessionFeed } from "./createSessionFeed";
import { getDifferingBuckets } from "./getDifferingBuckets";
import { HostedSession } from "./HostedSession";
import { SessionHub } from "./SessionHub";
import { SessionHubOptions } from "./SessionHubOptions";

const directoryBatchDelayMilliseconds = 100;
const idleWaitMilliseconds = 60_000;
const maximumQueuedEvents = 4_096;
const sessionTimeoutMilliseconds = 10_000;
const maximumLeaseWaitMilliseconds = 800;

/** Creates the session hub of one control member. */
export function createSessionHub(options: SessionHubOptions): SessionHub {
    const { configuration, sidecarSet, directory, leaseHolders, clock, logger } = options;
    const sessions = new Map<string, HostedSession>();
    const changedRecords = new Map<string, ProcessRecord>();
    const feed = createSessionFeed(options);
    const wakeup = createWakeup(clock);
    let directoryNumber = 0n;
    let isStopped = false;
    const removeListeners = [
        configuration.addListener(() => sessions.forEach(feed.sendConfiguration)),
        sidecarSet.addListener(() => sessions.forEach(feed.sendSidecarSet)),
        directory.addListener(handleDirectoryChange),
    ];
    const directoryTask = sendDirectoryChanges();
    return {
        open,
        receiveUpdate,
        close,
        send,
        broadcast,
        grantPendingLeases,
        enforceTimeouts,
        getCount: () => sessions.size,
        stop,
    };

    function open(record: ProcessRecord, outgoing: AsyncQueue<SessionEvent>): HostedSession {
        const former = sessions.get(record.instanceId);
        const session: HostedSession = {
            record,
            holder: leaseHolders.addSession(record.instanceId, record.incarnation),
            outgoing,
            sentRevision: record.configurationRevision,
            sentSidecarSetNumber: undefined,
            pendingLeaseRequestNumber: undefined,
            leaseRequestedAtMilliseconds: 0,
            lastUpdateAtMilliseconds: clock.getMonotonicMilliseconds(),
        };
        if (former !== undefined) {
            replaceSession(former, session);
        }
        sessions.set(record.instanceId, session);
        applyRecord(session, record);
        feed.sendConfiguration(session);
        options.getInitialEvents().forEach(outgoing.add);
        return session;
    }

    function replaceSession(former: HostedSession, session: HostedSession): void {
        former.outgoing.close();
        if (former.holder !== session.holder) {
            leaseHolders.removeSession(former.holder, false);
        }
    }

    function close(session: HostedSession): void {
        session.outgoing.close();
        if (sessions.get(session.record.instanceId) === session) {
            sessions.delete(session.record.instanceId);
            leaseHolders.removeSession(session.holder, session.record.state === ProcessState.GONE);
        }
    }

    function receiveUpdate(session: HostedSession, message: SessionUpdate): void {
        const { update } = message;
        session.lastUpdateAtMilliseconds = clock.getMonotonicMilliseconds();
        switch (update.case) {
            case "record":
                applyRecord(session, update.value);
                break;
            case "acknowledgement":
                applyAcknowledgement(session, update.value);
                break;
            case "leaseRequest":
                feed.refusePendingLease(session);
                session.pendingLeaseRequestNumber = update.value.number;
                session.leaseRequestedAtMilliseconds = clock.getMonotonicMilliseconds();
                feed.grantPendingLease(session);
                break;
            case "directorySummary":
                applySummary(session, update.value);
                break;
            case "quotaRequest":
            case "orderReport":
                forwardUpdate(session, message);
                break;
            case undefined:
                break;
            default:
                assertNever(update);
        }
    }

    function applyRecord(session: HostedSession, record: ProcessRecord): void {
        if (record.instanceId !== session.holder.instanceId || record.incarnation !== session.holder.incarnation) {
            logger.warn({ instanceId: record.instanceId }, "session closed since its record names another run");
            session.outgoing.close();
            return;
        }
        session.record = record;
        if (directory.mergeRecord(record)) {
            options.handleRecord(record);
        }
        const stored = directory.getRecord(record.instanceId)!;
        if (
            stored.recordNumber !== record.recordNumber || stored.incarnation !== record.incarnation
            || stored.state !== record.state
        ) {
            sendRecords([session], [stored]);
        }
    }

    function applyAcknowledgement(session: HostedSession, acknowledgement: Acknowledgement): void {
        const { configurationRevision, companionSetNumber } = acknowledgement;
        leaseHolders.recordAcknowledgement(session.holder, configurationRevision, companionSetNumber);
    }

    /** Sends the directory buckets that differ from the process's, and the sidecar set if it holds an older one. */
    function applySummary(session: HostedSession, summary: DirectorySummary): void {
        const completeBuckets = getDifferingBuckets(directory.getDigests(), summary.digests);
        if (completeBuckets.length > 0) {
            const records = [...directory.getSidecarsInBuckets(completeBuckets)];
            const value = create(DirectoryUpdateSchema, { directoryNumber, records, completeBuckets });
            session.outgoing.add(createSessionEvent({ case: "directory", value }));
        }
        session.sentSidecarSetNumber = summary.companionSetNumber;
        feed.sendSidecarSet(session);
    }

    function forwardUpdate(session: HostedSession, update: SessionUpdate): void {
        const { instanceId, incarnation } = session.holder;
        options.handleUpdate({ instanceId, incarnation, update, reply: event => send(instanceId, event) });
    }

    function send(instanceId: string, event: SessionEvent): boolean {
        const session = sessions.get(instanceId);
        session?.outgoing.add(event);
        return session !== undefined;
    }

    function broadcast(event: SessionEvent): void {
        for (const session of sessions.values()) {
            if (session.outgoing.getLength() < maximumQueuedEvents) {
                session.outgoing.add(event);
            }
            else {
                session.outgoing.close();
            }
        }
    }

    function enforceTimeouts(): void {
        const now = clock.getMonotonicMilliseconds();
        for (const session of sessions.values()) {
            if (now - session.leaseRequestedAtMilliseconds > maximumLeaseWaitMilliseconds) {
                feed.refusePendingLease(session);
            }
            if (now - session.lastUpdateAtMilliseconds > sessionTimeoutMilliseconds) {
                close(session);
            }
        }
    }

    function grantPendingLeases(): void {
        sessions.forEach(feed.grantPendingLease);
    }

    /** Queues a sidecar's record for all processes; sends an entry process its own record if its state differs. */
    function handleDirectoryChange(record: ProcessRecord): void {
        if (record.role === ProcessRole.COMPANION) {
            changedRecords.set(record.instanceId, record);
            wakeup.wake();
        }
        else {
            const session = sessions.get(record.instanceId);
            if (session !== undefined && session.record.state !== record.state) {
                sendRecords([session], [record]);
            }
        }
    }

    async function sendDirectoryChanges(): Promise<void> {
        while (!isStopped) {
            if (!await wakeup.wait(idleWaitMilliseconds) || isStopped) {
                continue;
            }
            await clock.sleep(directoryBatchDelayMilliseconds);
            const records = [...changedRecords.values()];
            changedRecords.clear();
            sendRecords([...sessions.values()], records);
        }
    }

    function sendRecords(recipients: readonly HostedSession[], records: readonly ProcessRecord[]): void {
        directoryNumber++;
        const value = create(DirectoryUpdateSchema, { directoryNumber, records: [...records] });
        const event = createSessionEvent({ case: "directory", value });
        recipients.forEach(session => session.outgoing.add(event));
    }

    async function stop(): Promise<void> {
        isStopped = true;
        wakeup.wake();
        removeListeners.forEach(remove => remove());
        sessions.forEach(session => session.outgoing.close());
        await directoryTask;
    }
}
