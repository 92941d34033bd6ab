/*
 * One stream to one control member, from its opening to its end: one task reads what comes, another asks for the lease
 * again and again and ends the stream when the member is silent or gives none.
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
import { createSessionUpdate } from "./createSessionUpdate";
import { readStopwatch } from "./readStopwatch";
import { SessionStreamOptions } from "./SessionStreamOptions";
import { StopwatchReading } from "./StopwatchReading";
import { StreamEnd } from "./StreamEnd";

const silenceMilliseconds = 2_000;
const restMilliseconds = 900;
const restSpread = 0.2;
const maximumRefusedLeases = 2;

/** Runs one stream until it ends. */
export async function runSessionStream(options: SessionStreamOptions): Promise<StreamEnd> {
    const { session, address, outgoing, getOwnRecord, handleEvent, handleKnownRecord, handleHeard } = options;
    const { identity, configuration, directory, lease, sidecarSet, promises, clock, random, metrics } = session;
    const ended = new AbortController();
    const requests = new Map<bigint, StopwatchReading>();
    let requestNumber = 0n;
    let heardAt = Number.NEGATIVE_INFINITY;
    let refusedLeases = 0;
    let wasUseful = false;
    let isAcknowledging = false;
    let acknowledged = { revision: 0n, sidecarSetNumber: 0n };
    options.signal.addEventListener("abort", end, { once: true });
    introduce();
    const [readEnd, renewalEnd] = await Promise.all([
        read().finally(end),
        renewLease().finally(end),
    ]);
    options.signal.removeEventListener("abort", end);
    const reason = options.signal.aborted ? "stopped" : renewalEnd ?? "failed";
    return { reason, wasUseful, message: readEnd };

    function end(): void {
        ended.abort();
        outgoing.close();
    }

    /** Says what the process is and what it holds already. */
    function introduce(): void {
        const record = { ...getOwnRecord(), configurationRevision: configuration.getRevision() };
        outgoing.add(createSessionUpdate({ case: "record", value: record }));
        const summary = create(DirectorySummarySchema, {
            digests: [...directory.getDigests()],
            companionSetNumber: sidecarSet.getNumber(),
        });
        outgoing.add(createSessionUpdate({ case: "directorySummary", value: summary }));
        void acknowledge();
    }

    /** Reads events until the stream ends; returns what the error said. */
    async function read(): Promise<string | undefined> {
        try {
            for await (const event of session.openSession(address, countSent(), ended.signal)) {
                metrics.addCount(CounterName.ControlBytesReceived, toBinary(SessionEventSchema, event).length);
                heardAt = clock.getMonotonicMilliseconds();
                handleHeard();
                takeEvent(event);
            }
            return undefined;
        }
        catch (error) {
            return getErrorMessage(error);
        }
    }

    async function* countSent(): AsyncGenerator<SessionUpdate> {
        for await (const update of outgoing) {
            metrics.addCount(CounterName.ControlBytesSent, toBinary(SessionUpdateSchema, update).length);
            yield update;
        }
    }

    /** Asks for the lease, and watches whether the member answers. */
    async function renewLease(): Promise<"silent" | "stale" | undefined> {
        while (!ended.signal.aborted) {
            requestNumber++;
            requests.set(requestNumber, readStopwatch(clock));
            const request = create(LeaseRequestSchema, { number: requestNumber });
            outgoing.add(createSessionUpdate({ case: "leaseRequest", value: request }));
            const sentAt = clock.getMonotonicMilliseconds();
            await clock.sleep(silenceMilliseconds, ended.signal);
            if (ended.signal.aborted) {
                return undefined;
            }
            if (heardAt < sentAt) {
                return "silent";
            }
            if (refusedLeases >= maximumRefusedLeases && session.members.length > 1) {
                return "stale";
            }
            await clock.sleep(restMilliseconds * (1 + restSpread * random.getUnit()), ended.signal);
        }
        return undefined;
    }

    function takeEvent(message: SessionEvent): void {
        const { event } = message;
        switch (event.case) {
            case "configurationSnapshot":
                configuration.applySnapshot(event.value);
                noteConfiguration(event.value.revision);
                break;
            case "configurationDelta":
                configuration.applyDelta(event.value);
                noteConfiguration(event.value.revision);
                break;
            case "lease":
                takeLease(event.value);
                break;
            case "directory":
                directory.applyUpdate(event.value);
                event.value.records.filter(record => record.instanceId === identity.instanceId)
                    .forEach(handleKnownRecord);
                break;
            case "companionSet":
                sidecarSet.apply(event.value);
                void acknowledge();
                break;
            default:
                handleEvent(event);
        }
    }

    /** Acknowledges a revision, or starts anew where one in between is missing. */
    function noteConfiguration(revision: bigint): void {
        if (configuration.getRevision() < revision) {
            end();
            return;
        }
        void acknowledge();
    }

    function takeLease(grant: LeaseGrant): void {
        const requestedAt = requests.get(grant.requestNumber);
        requests.delete(grant.requestNumber);
        if (grant.remainingMilliseconds === 0 || requestedAt === undefined) {
            refusedLeases++;
            return;
        }
        refusedLeases = 0;
        wasUseful = true;
        metrics.addCount(CounterName.LeasesGranted);
        lease.addGrant(grant, requestedAt);
    }

    /** Acknowledges what is held, once all promises allow it. */
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
            const delay = promises.getDelayMilliseconds(revision, sidecarSetNumber);
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
            outgoing.add(createSessionUpdate({ case: "acknowledgement", value }));
        }
        isAcknowledging = false;
    }
}
