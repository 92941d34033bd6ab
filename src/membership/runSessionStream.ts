/*
 * Runs one stream to one control member, from its opening to its end: one task reads the events, another renews the
 * lease periodically and ends the stream when the member is unresponsive or grants no lease.
 */
import { create, toBinary } from "@bufbuild/protobuf";
import { getErrorMessage } from "../errors";
import { CounterName } from "../metrics";
import {
    AcknowledgementSchema,
    DirectorySummarySchema,
    LeaseGrant,
    LeaseRequestSchema,
    SessionEvent,
    SessionEventSchema,
    SessionUpdate,
    SessionUpdateSchema,
} from "../protocol";
import { ClockReading } from "./ClockReading";
import { createSessionUpdate } from "./createSessionUpdate";
import { readClocks } from "./readClocks";
import { SessionStreamOptions } from "./SessionStreamOptions";
import { StreamEnd } from "./StreamEnd";

const responseTimeoutMilliseconds = 2_000;
const renewalPauseMilliseconds = 900;
const renewalPauseJitter = 0.2;
const maximumRefusedLeases = 2;

/**
 * Runs one stream until it ends.
 * @param options - What the stream depends on.
 */
export async function runSessionStream(options: SessionStreamOptions): Promise<StreamEnd> {
    const {
        session,
        address,
        outgoingUpdates,
        getOwnRecord,
        handleEvent,
        handleOwnRecordReceived,
        handleEventReceived,
    } = options;
    const { identity, configuration, directory, lease, sidecarSet, confirmationPromises, clock, random, metrics } =
        session;
    const ended = new AbortController();
    const pendingLeaseRequests = new Map<bigint, ClockReading>();
    let requestNumber = 0n;
    let lastEventMilliseconds = Number.NEGATIVE_INFINITY;
    let refusedLeases = 0;
    let wasUseful = false;
    let isAcknowledging = false;
    let acknowledged = { revision: 0n, sidecarSetNumber: 0n };
    options.signal.addEventListener("abort", end, { once: true });
    sendInitialState();
    const [errorMessage, renewalEnd] = await Promise.all([
        readEvents().finally(end),
        renewLease().finally(end),
    ]);
    options.signal.removeEventListener("abort", end);
    const reason = options.signal.aborted ? "stopped" : renewalEnd ?? "failed";
    return { reason, wasUseful, message: errorMessage };

    function end(): void {
        ended.abort();
        outgoingUpdates.close();
    }

    /** Sends the process's own record, a summary of its directory and an acknowledgement of its configuration. */
    function sendInitialState(): void {
        const record = { ...getOwnRecord(), configurationRevision: configuration.getRevision() };
        outgoingUpdates.add(createSessionUpdate({ case: "record", value: record }));
        const summary = create(DirectorySummarySchema, {
            digests: [...directory.getDigests()],
            companionSetNumber: sidecarSet.getNumber(),
        });
        outgoingUpdates.add(createSessionUpdate({ case: "directorySummary", value: summary }));
        void acknowledge();
    }

    /** Reads events until the stream ends; returns the message of the error that ended it, if any. */
    async function readEvents(): Promise<string | undefined> {
        try {
            for await (const event of session.openSession(address, countSentBytes(), ended.signal)) {
                metrics.addCount(CounterName.ControlBytesReceived, toBinary(SessionEventSchema, event).length);
                lastEventMilliseconds = clock.getMonotonicMilliseconds();
                handleEventReceived();
                handleStreamEvent(event);
            }
            return undefined;
        }
        catch (error) {
            return getErrorMessage(error);
        }
    }

    async function* countSentBytes(): AsyncGenerator<SessionUpdate> {
        for await (const update of outgoingUpdates) {
            metrics.addCount(CounterName.ControlBytesSent, toBinary(SessionUpdateSchema, update).length);
            yield update;
        }
    }

    /**
     * Renews the lease until the stream ends; returns why it should end if the member is unresponsive or grants no
     * lease.
     */
    async function renewLease(): Promise<"silent" | "stale" | undefined> {
        while (!ended.signal.aborted) {
            requestNumber++;
            pendingLeaseRequests.set(requestNumber, readClocks(clock));
            const request = create(LeaseRequestSchema, { number: requestNumber });
            outgoingUpdates.add(createSessionUpdate({ case: "leaseRequest", value: request }));
            const sentAtMilliseconds = clock.getMonotonicMilliseconds();
            await clock.sleep(responseTimeoutMilliseconds, ended.signal);
            if (ended.signal.aborted) {
                return undefined;
            }
            if (lastEventMilliseconds < sentAtMilliseconds) {
                return "silent";
            }
            if (refusedLeases >= maximumRefusedLeases && session.members.length > 1) {
                return "stale";
            }
            await clock.sleep(renewalPauseMilliseconds * (1 + renewalPauseJitter * random.getFraction()), ended.signal);
        }
        return undefined;
    }

    function handleStreamEvent(message: SessionEvent): void {
        const { event } = message;
        switch (event.case) {
            case "configurationSnapshot":
                configuration.applySnapshot(event.value);
                handleConfigurationRevision(event.value.revision);
                break;
            case "configurationDelta":
                configuration.applyDelta(event.value);
                handleConfigurationRevision(event.value.revision);
                break;
            case "lease":
                handleLeaseGrant(event.value);
                break;
            case "directory":
                directory.applyUpdate(event.value);
                event.value.records.filter(record => record.instanceId === identity.instanceId)
                    .forEach(handleOwnRecordReceived);
                break;
            case "companionSet":
                sidecarSet.apply(event.value);
                void acknowledge();
                break;
            default:
                handleEvent(event);
        }
    }

    /**
     * Acknowledges a revision. If a revision before it is missing, ends the stream so that a new one sends a snapshot.
     */
    function handleConfigurationRevision(revision: bigint): void {
        if (configuration.getRevision() < revision) {
            end();
            return;
        }
        void acknowledge();
    }

    function handleLeaseGrant(grant: LeaseGrant): void {
        const requestedAt = pendingLeaseRequests.get(grant.requestNumber);
        pendingLeaseRequests.delete(grant.requestNumber);
        if (grant.remainingMilliseconds === 0 || requestedAt === undefined) {
            refusedLeases++;
            return;
        }
        refusedLeases = 0;
        wasUseful = true;
        metrics.addCount(CounterName.LeasesGranted);
        lease.addGrant(grant, requestedAt);
    }

    /** Acknowledges the local configuration and sidecar set, once all promises to other processes allow it. */
    async function acknowledge(): Promise<void> {
        if (isAcknowledging) {
            return;
        }
        isAcknowledging = true;
        while (!ended.signal.aborted) {
            const revision = configuration.getRevision();
            const sidecarSetNumber = sidecarSet.getNumber();
            if (revision === acknowledged.revision && sidecarSetNumber === acknowledged.sidecarSetNumber) {
                break;
            }
            const delay = confirmationPromises.getDelayMilliseconds(revision, sidecarSetNumber);
            if (delay > 0) {
                await clock.sleep(delay, ended.signal);
                continue;
            }
            acknowledged = { revision, sidecarSetNumber };
            const value = create(AcknowledgementSchema, {
                configurationRevision: revision,
                companionSetNumber: sidecarSetNumber,
                directoryNumber: BigInt(directory.getChangeNumber()),
            });
            outgoingUpdates.add(createSessionUpdate({ case: "acknowledgement", value }));
        }
        isAcknowledging = false;
    }
}
