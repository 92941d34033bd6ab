/*
 * Entry processes and sidecars in one process, connected by fakes of the links, control members, services and engines.
 */
import { create } from "@bufbuild/protobuf";
import { createHash } from "node:crypto";
import { ConfigurationView, EffectiveSettings } from "../../src/control/configuration";
import { EntryOptions } from "../../src/entry";
import { AdmittedRequest } from "../../src/entry/AdmittedRequest";
import { createRequestDispatcher } from "../../src/entry/createRequestDispatcher";
import { ResponseEvent } from "../../src/entry/ResponseEvent";
import { createSilentLogger } from "../../src/logging";
import { Authority, Directory } from "../../src/membership";
import { createMetrics } from "../../src/metrics";
import {
    BackendKind,
    Priority,
    ProcessRecord,
    ProcessRecordSchema,
    ProcessRole,
    ProcessState,
    RunState,
} from "../../src/protocol";
import { Clock, createRandomSource } from "../../src/runtime";
import { Backend, createSidecar, PrefixIndex } from "../../src/sidecar";
import { createControlFake } from "./createControlFake";
import { createEngineFake } from "./createEngineFake";
import { createExclusiveScheduler } from "./createExclusiveScheduler";
import { createLinkFake, SidecarEndpoint } from "./createLinkFake";
import { createServiceFake, Run } from "./createServiceFake";
import { createVirtualClock } from "./createVirtualClock";

/** The outcome of one delivery of a request. */
export interface Delivery {
    key: string;
    hasIdempotencyKey: boolean;
    requestId: string;
    outcome: "answered" | "refused" | "incomplete";
    body: string;
    runState: RunState;
    reason: number;
    timeMilliseconds: number;
    tokens: number;
}

const settings: EffectiveSettings = {
    values: {
        models: { locker: { allowed: true } },
        services: { locker: [{ method: "GET", path: "/status", idempotent: true }] },
    },
    origins: {},
    limitsByLevel: [],
    shareWeights: { workspace: 1, subscriber: 1 },
};
const subscriber = { workspace: "regie", path: "/regie/counter/one" };
const authority: Authority = {
    isLeaseFresh: () => true,
    hasOwnAuthority: () => true,
    getRevision: () => 1n,
    addSeenRevision: () => {},
    checkAuthority: () => Promise.resolve(true),
};

export function createTestCluster(
    seed: number,
    entryCount: number,
    sidecarCount: number,
    kind: "engine" | "service" = "service",
    clock: Clock & { stop?(): void; } = createVirtualClock(),
) {
    const random = createRandomSource(seed);
    const control = createControlFake(clock);
    const runs: Run[] = [];
    const records = new Map<string, ProcessRecord>();
    const endpoints = new Map<string, SidecarEndpoint>();
    const sidecars = [...Array(sidecarCount).keys()].map(createTestSidecar);
    const entries = Array.from({ length: entryCount }, () => createTestEntry());
    return { clock, control, runs, sidecars, entries, stop };

    function createTestSidecar(index: number) {
        const instanceId = `companion-${index}`;
        const address = `10.0.0.${index}:1`;
        const service = createServiceFake(clock, random, runs);
        const engine = createEngineFake(clock, random, instanceId);
        let termination = new AbortController();
        let sidecar: ReturnType<typeof createSidecar> | undefined;
        let incarnation = 0;
        let version = "1";
        start();
        return {
            service,
            engine,
            setVersion,
            kill,
            start,
            drain,
            stop: () => sidecar?.stop(),
            getInstanceId: () => instanceId,
        };

        function start(): void {
            if (sidecar !== undefined) {
                return;
            }
            incarnation++;
            const { signal } = termination = new AbortController();
            sidecar = createSidecar({
                instanceId,
                incarnation: String(incarnation),
                settings: {
                    backendKind: kind,
                    serves: "locker",
                    backendAddress: "",
                    maximumRunning: 4,
                    maximumQueued: 16,
                    prefillTokensPerSecond: 1,
                    drainDeadlineMilliseconds: 60_000,
                },
                backend: createBackend(signal),
                scheduler: createExclusiveScheduler(clock),
                authority,
                control: control.createClient(() => signal.aborted),
                clock,
                logger: createSilentLogger(),
                metrics: createMetrics(),
            });
            endpoints.set(address, { addServices: sidecar.addServices, terminated: signal });
            setRecord();
        }

        function createBackend(signal: AbortSignal): Backend {
            if (kind === "service") {
                return { kind, adapter: service.createAdapter(signal) };
            }
            const index = {
                getCachedBlocks: () => 0,
                getLikelyBlocks: () => 0,
                addEvent: () => {},
                addResponse: () => {},
                reset: () => {},
                getSize: () => 0,
            } as PrefixIndex;
            return { kind, adapter: engine.createAdapter(signal), index };
        }

        function setVersion(newVersion: string): void {
            version = newVersion;
            engine.setVersion(newVersion);
            setRecord();
        }

        function setRecord(): void {
            const record = create(ProcessRecordSchema, {
                instanceId,
                incarnation: String(incarnation),
                role: ProcessRole.COMPANION,
                state: ProcessState.READY,
                address,
                backendKind: kind === "service" ? BackendKind.SERVICE : BackendKind.ENGINE,
                serves: "locker",
                version: kind === "service" ? "" : version,
            });
            records.set(instanceId, record);
        }

        function kill(): void {
            termination.abort();
            endpoints.delete(address);
            void sidecar?.stop();
            sidecar = undefined;
        }

        /** Stops the sidecar as on SIGTERM, and starts a new process once it has ended. */
        async function drain(): Promise<void> {
            const stoppingSidecar = sidecar;
            await stoppingSidecar?.stop();
            if (stoppingSidecar !== undefined && stoppingSidecar === sidecar) {
                kill();
                start();
            }
        }
    }

    function createTestEntry() {
        let isTerminated = false;
        const termination = new AbortController();
        const metrics = createMetrics();
        const link = createLinkFake(clock, random, address => endpoints.get(address), () => isTerminated);
        const options: EntryOptions = {
            listener: { address: "127.0.0.1", port: 0 },
            settings: {
                maximumBodyBytes: 1,
                maximumHeaderBytes: 1,
                maximumConnections: 1,
                maximumRequestsInFlight: 1,
                requestTimeoutMilliseconds: 1,
                idleTimeoutMilliseconds: 1,
                defaultDeadlineMilliseconds: 1,
                retryBudgetShare: 1,
                drainDeadlineMilliseconds: 1,
            },
            routing: { pieceTokens: 4_096, bytesPerToken: 4 },
            configuration: {
                getRevision: () => 1n,
                getSubscriberByKey: key => key === "good" ? subscriber : undefined,
                getEffectiveSettings: () => settings,
            } as ConfigurationView,
            directory: createDirectory(),
            authority,
            placement: {
                rank: (request, candidates) => rankByRequestId(request.requestId, candidates),
                addObservation: () => {},
            },
            quarantine: {
                getRecord: fingerprint => {
                    const name = Buffer.from(fingerprint).toString("hex");
                    return control.quarantine.getRecords().find(record => {
                        return Buffer.from(record.fingerprint).toString("hex") === name;
                    });
                },
                applyUpdate: () => {},
            },
            transports: link.transports,
            control: control.createClient(() => isTerminated),
            clock,
            random,
            logger: createSilentLogger(),
            metrics,
        };
        const runner = createRequestDispatcher(options);
        return { options, link, deliver, complete, kill, metrics, getTasksInFlight: runner.getTasksInFlight };

        /** Delivers one completion request. */
        function complete(prompt: string, requestId: string, timeoutMilliseconds: number): Promise<Delivery> {
            return run(createCompletionRequest(prompt, requestId, timeoutMilliseconds), prompt, true);
        }

        function kill(): void {
            isTerminated = true;
            termination.abort();
        }

        /** Delivers one call of the plain service, by default under an idempotency key. */
        function deliver(
            key: string,
            requestId: string,
            timeoutMilliseconds: number,
            keyed = true,
        ): Promise<Delivery> {
            return run(createCallRequest(key, requestId, timeoutMilliseconds, keyed), key, keyed);
        }

        /** Runs a request; the promise never resolves if the entry process terminates first. */
        async function run(request: AdmittedRequest, key: string, keyed: boolean): Promise<Delivery> {
            const delivery: Delivery = {
                key,
                hasIdempotencyKey: keyed,
                requestId: request.requestId,
                tokens: 0,
                outcome: "incomplete",
                body: "",
                runState: RunState.UNSPECIFIED,
                reason: 0,
                timeMilliseconds: 0,
            };
            for await (const event of runner.run(request, termination.signal)) {
                if (isTerminated) {
                    return new Promise(() => {});
                }
                recordEvent(delivery, event);
            }
            delivery.timeMilliseconds = clock.getMonotonicMilliseconds();
            return delivery;
        }
    }

    function createCallRequest(
        key: string,
        requestId: string,
        timeoutMilliseconds: number,
        keyed: boolean,
    ): AdmittedRequest {
        const body = Buffer.from(JSON.stringify({ key }));
        const call = { service: "locker", method: "POST", path: "/release", headers: [], body, isIdempotent: false };
        const idempotencyKey = keyed ? `key-${key}` : undefined;
        const work = { kind: "service" as const, call };
        return { ...createRequest(body, requestId, timeoutMilliseconds), idempotencyKey, work };
    }

    function createCompletionRequest(prompt: string, requestId: string, timeoutMilliseconds: number): AdmittedRequest {
        const body = { model: "locker", prompt };
        const work = {
            kind: "completion" as const,
            request: {
                model: "locker",
                version: undefined,
                isChat: false,
                isStreaming: true,
                includesUsage: true,
                prompt,
                maximumTokens: 16,
                seed: undefined,
                body,
            },
        };
        return { ...createRequest(Buffer.from(prompt), requestId, timeoutMilliseconds), work };
    }

    function createRequest(
        body: Buffer,
        requestId: string,
        timeoutMilliseconds: number,
    ): Omit<AdmittedRequest, "work"> {
        return {
            requestId,
            subscriber,
            priority: Priority.INTERACTIVE,
            workspaceShareWeight: 1,
            subscriberShareWeight: 1,
            deadlineMilliseconds: clock.getMonotonicMilliseconds() + timeoutMilliseconds,
            fingerprint: createHash("sha256").update(body).digest(),
            idempotencyKey: undefined,
        };
    }

    function createDirectory(): Directory {
        return {
            getCandidates: () => [...records.values()],
            getRecord: instanceId => records.get(instanceId),
            getRecords: () => [...records.values()],
            addSuspicion: () => {},
            addLeaving: () => {},
            getChangeNumber: () => 0,
        };
    }

    async function stop(): Promise<void> {
        const pendingStops = sidecars.map(sidecar => sidecar.stop());
        sidecars.forEach(sidecar => sidecar.kill());
        await Promise.all(pendingStops);
        clock.stop?.();
    }
}

/** Ranks the sidecars in an order that depends on the request id, so that requests are distributed over them. */
function rankByRequestId(requestId: string, candidates: readonly ProcessRecord[]): readonly ProcessRecord[] {
    const start = createHash("sha256").update(requestId).digest()[0]! % Math.max(1, candidates.length);
    return [...candidates.slice(start), ...candidates.slice(0, start)];
}

function recordEvent(delivery: Delivery, event: ResponseEvent): void {
    switch (event.kind) {
        case "text":
            delivery.body += event.text;
            break;
        case "body":
            delivery.body += Buffer.from(event.data).toString();
            break;
        case "end":
            delivery.outcome = "answered";
            delivery.tokens = event.end.completionTokens;
            break;
        case "refused":
            delivery.outcome = "refused";
            delivery.runState = event.refusal.runState;
            delivery.reason = event.refusal.reason;
            break;
        default:
            break;
    }
}
