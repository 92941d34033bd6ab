/*
 * Runs a process's session with the control members: one long-lived stream to one of them, replaced by a stream to
 * another when that member stops, is unresponsive or grants no lease.
 */
import { create } from "@bufbuild/protobuf";
import { OrderReport, ProcessRecord, ProcessState, QuotaRequestSchema, SessionEvent, SessionUpdate } from "../protocol";
import { AsyncQueue, createAsyncQueue } from "../runtime";
import { ControlSession } from "./ControlSession";
import { ControlSessionOptions } from "./ControlSessionOptions";
import { createMemberRotation } from "./createMemberRotation";
import { createOwnRecord } from "./createOwnRecord";
import { createSessionUpdate } from "./createSessionUpdate";
import { OwnRecordChange } from "./OwnRecordChange";
import { runSessionStream } from "./runSessionStream";
import { SessionListener } from "./SessionListener";
import { StreamEnd } from "./StreamEnd";

const maximumPendingReports = 256;
const shutdownNoticeMilliseconds = 50;
const configurationPollMilliseconds = 20;

/**
 * Creates a session and starts it.
 * @param options - What the session depends on.
 */
export function createControlSession(options: ControlSessionOptions): ControlSession {
    const { identity, members, configuration, clock, random, logger } = options;
    const ownRecord = createOwnRecord(identity, clock);
    const rotation = createMemberRotation(members, random);
    const listeners = new Set<SessionListener>();
    const pendingReports: SessionUpdate[] = [];
    const stopped = new AbortController();
    let outgoingUpdates: AsyncQueue<SessionUpdate> | undefined;
    let isConnected = false;
    const running = run();
    return {
        getOwnRecord: ownRecord.get,
        updateOwnRecord,
        setState: state => updateOwnRecord({ state }),
        requestQuota,
        reportOrder,
        addListener,
        isConnected: () => isConnected,
        waitUntilConfigured,
        stop,
    };

    async function run(): Promise<void> {
        while (!stopped.signal.aborted) {
            const address = rotation.getNext();
            const end = await runStream(address);
            if (end.reason === "stopped") {
                return;
            }
            logger.info({ member: address, reason: end.reason, error: end.message }, "control session ended");
            await clock.sleep(rotation.getDelayMilliseconds(end), stopped.signal);
        }
    }

    async function runStream(address: string): Promise<StreamEnd> {
        const queue = createAsyncQueue<SessionUpdate>();
        outgoingUpdates = queue;
        const streamEnd = runSessionStream({
            session: options,
            address,
            signal: stopped.signal,
            outgoingUpdates: queue,
            getOwnRecord: ownRecord.get,
            handleEvent,
            handleOwnRecordReceived,
            handleEventReceived: () => isConnected = true,
        });
        pendingReports.splice(0).forEach(queue.add);
        const end = await streamEnd;
        isConnected = false;
        outgoingUpdates = undefined;
        return end;
    }

    function updateOwnRecord(change: OwnRecordChange): void {
        if (ownRecord.update(change)) {
            sendOwnRecord();
        }
    }

    function sendOwnRecord(): void {
        const value = { ...ownRecord.get(), configurationRevision: configuration.getRevision() };
        outgoingUpdates?.add(createSessionUpdate({ case: "record", value }));
    }

    /**
     * Corrects the record that a control member holds of this instance, and notifies the listeners when the platform is
     * removing the instance.
     */
    function handleOwnRecordReceived(heldRecord: ProcessRecord): void {
        const { hasChanged, isLeavingRequested } = ownRecord.reconcile(heldRecord);
        if (hasChanged) {
            sendOwnRecord();
        }
        if (isLeavingRequested) {
            logger.info("the platform is removing this instance");
            listeners.forEach(listener => listener.handleLeavingRequest?.());
        }
    }

    function handleEvent(event: SessionEvent["event"]): void {
        for (const listener of listeners) {
            notifyListener(listener, event);
        }
    }

    function notifyListener(listener: SessionListener, event: SessionEvent["event"]): void {
        if (event.case === "order") {
            listener.handleOrder?.(event.value);
        }
        else if (event.case === "quota") {
            listener.handleQuotaGrant?.(event.value);
        }
        else if (event.case === "quarantine") {
            listener.handleQuarantineUpdate?.(event.value);
        }
    }

    function requestQuota(level: string, spent: bigint, wanted: bigint): void {
        const value = create(QuotaRequestSchema, { level, spent, wanted });
        outgoingUpdates?.add(createSessionUpdate({ case: "quotaRequest", value }));
    }

    function reportOrder(report: OrderReport): void {
        const update = createSessionUpdate({ case: "orderReport", value: report });
        if (outgoingUpdates !== undefined) {
            outgoingUpdates.add(update);
        }
        else if (pendingReports.length < maximumPendingReports) {
            pendingReports.push(update);
        }
    }

    function addListener(listener: SessionListener): () => void {
        listeners.add(listener);
        return () => listeners.delete(listener);
    }

    async function waitUntilConfigured(signal: AbortSignal): Promise<boolean> {
        while (configuration.getRevision() === 0n && !signal.aborted) {
            await clock.sleep(configurationPollMilliseconds, signal);
        }
        return configuration.getRevision() > 0n;
    }

    async function stop(): Promise<void> {
        updateOwnRecord({ state: ProcessState.GONE });
        outgoingUpdates?.close();
        await Promise.race([running, clock.sleep(shutdownNoticeMilliseconds)]);
        stopped.abort();
        await running;
    }
}
