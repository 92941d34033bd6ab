/*
 * All sessions at this control member. Changes of the directory travel in batches; a change of the configuration is sent
 * at once.
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

const directoryBatchMilliseconds = 100;
const idleMilliseconds = 60_000;
const maximumWaitingEvents = 4_096;
const silenceMilliseconds = 10_000;
const longestWaitMilliseconds = 800;

/** Creates the sessions of one control member. */
export function createSessionHub(options: SessionHubOptions): SessionHub {
    const { configuration, sidecarSet, directory, heldLeases, clock, logger } = options;
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
    const sending = sendDirectoryChanges();
    return {
        open,
        takeUpdate,
        close,
        send,
        broadcast,
        answerWaiting,
        closeSilent,
        getCount: () => sessions.size,
        stop,
    };

    function open(record: ProcessRecord, outgoing: AsyncQueue<SessionEvent>): HostedSession {
        const former = sessions.get(record.instanceId);
        const session: HostedSession = {
            record,
            held: heldLeases.openSession(record.instanceId, record.incarnation),
            outgoing,
            sentRevision: record.configurationRevision,
            sentSetNumber: undefined,
            waitingRequest: undefined,
            waitingSinceMilliseconds: 0,
            heardAtMilliseconds: clock.getMonotonicMilliseconds(),
        };
        if (former !== undefined) {
            replaceSession(former, session);
        }
        sessions.set(record.instanceId, session);
        takeRecord(session, record);
        feed.sendConfiguration(session);
        options.getInitialEvents().forEach(outgoing.add);
        return session;
    }

    function replaceSession(former: HostedSession, session: HostedSession): void {
        former.outgoing.close();
        if (former.held !== session.held) {
            heldLeases.closeSession(former.held, false);
        }
    }

    function close(session: HostedSession): void {
        session.outgoing.close();
        if (sessions.get(session.record.instanceId) === session) {
            sessions.delete(session.record.instanceId);
            heldLeases.closeSession(session.held, session.record.state === ProcessState.GONE);
        }
    }

    function takeUpdate(session: HostedSession, message: SessionUpdate): void {
        const { update } = message;
        session.heardAtMilliseconds = clock.getMonotonicMilliseconds();
        switch (update.case) {
            case "record":
                takeRecord(session, update.value);
                break;
            case "acknowledgement":
                takeAcknowledgement(session, update.value);
                break;
            case "leaseRequest":
                feed.refuseLease(session);
                session.waitingRequest = update.value.number;
                session.waitingSinceMilliseconds = clock.getMonotonicMilliseconds();
                feed.answerLease(session);
                break;
            case "directorySummary":
                takeSummary(session, update.value);
                break;
            case "quotaRequest":
            case "orderReport":
                handUpdateOn(session, message);
                break;
            case undefined:
                break;
            default:
                assertNever(update);
        }
    }

    function takeRecord(session: HostedSession, record: ProcessRecord): void {
        if (record.instanceId !== session.held.instanceId || record.incarnation !== session.held.incarnation) {
            logger.warn({ instanceId: record.instanceId }, "a session changed its identity");
            session.outgoing.close();
            return;
        }
        session.record = record;
        if (directory.mergeRecord(record)) {
            options.handleRecord(record);
        }
        const held = directory.getRecord(record.instanceId)!;
        if (
            held.recordNumber !== record.recordNumber || held.incarnation !== record.incarnation
            || held.state !== record.state
        ) {
            sendRecords([session], [held]);
        }
    }

    function takeAcknowledgement(session: HostedSession, acknowledgement: Acknowledgement): void {
        const { configurationRevision, companionSetNumber } = acknowledgement;
        heldLeases.acknowledge(session.held, configurationRevision, companionSetNumber);
    }

    /** Sends what the process lacks of the directory and the set of sidecars. */
    function takeSummary(session: HostedSession, summary: DirectorySummary): void {
        const completeBuckets = getDifferingBuckets(directory.getDigests(), summary.digests);
        if (completeBuckets.length > 0) {
            const records = [...directory.getSidecarsInBuckets(completeBuckets)];
            const value = create(DirectoryUpdateSchema, { directoryNumber, records, completeBuckets });
            session.outgoing.add(createSessionEvent({ case: "directory", value }));
        }
        session.sentSetNumber = summary.companionSetNumber;
        feed.sendSidecarSet(session);
    }

    function handUpdateOn(session: HostedSession, update: SessionUpdate): void {
        const { instanceId, incarnation } = session.held;
        options.handleUpdate({ instanceId, incarnation, update, reply: event => send(instanceId, event) });
    }

    function send(instanceId: string, event: SessionEvent): boolean {
        const session = sessions.get(instanceId);
        session?.outgoing.add(event);
        return session !== undefined;
    }

    function broadcast(event: SessionEvent): void {
        for (const session of sessions.values()) {
            if (session.outgoing.getLength() < maximumWaitingEvents) {
                session.outgoing.add(event);
            }
            else {
                session.outgoing.close();
            }
        }
    }

    function closeSilent(): void {
        const now = clock.getMonotonicMilliseconds();
        for (const session of sessions.values()) {
            if (now - session.waitingSinceMilliseconds > longestWaitMilliseconds) {
                feed.refuseLease(session);
            }
            if (now - session.heardAtMilliseconds > silenceMilliseconds) {
                close(session);
            }
        }
    }

    function answerWaiting(): void {
        sessions.forEach(feed.answerLease);
    }

    /** Notes a change for all where it concerns a sidecar, and otherwise tells the process itself. */
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
            if (!await wakeup.wait(idleMilliseconds) || isStopped) {
                continue;
            }
            await clock.sleep(directoryBatchMilliseconds);
            const records = [...changedRecords.values()];
            changedRecords.clear();
            sendRecords([...sessions.values()], records);
        }
    }

    function sendRecords(receivers: readonly HostedSession[], records: readonly ProcessRecord[]): void {
        directoryNumber++;
        const value = create(DirectoryUpdateSchema, { directoryNumber, records: [...records] });
        const event = createSessionEvent({ case: "directory", value });
        receivers.forEach(session => session.outgoing.add(event));
    }

    async function stop(): Promise<void> {
        isStopped = true;
        wakeup.wake();
        removeListeners.forEach(remove => remove());
        sessions.forEach(session => session.outgoing.close());
        await sending;
    }
}
