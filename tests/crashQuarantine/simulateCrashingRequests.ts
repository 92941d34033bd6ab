import { createCrashQuarantine, publishCrashReport } from "../../src/crashQuarantine";
import { createFactSync } from "../../src/facts";
import { createFeedState, runFeed } from "../../src/feed";
import { createForwarder, createPlannedStop, ForwardedRequest, Forwarder } from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { RefusalReason } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFactStore } from "../facts/createTestFacts";
import { decodeTestDocument } from "../feed/createTestFeed";
import { createTestReply } from "../forwarding/createTestReply";
import { createTestRequest } from "../forwarding/createTestRequest";
import { createTestServerLimits } from "../serverLimits/createTestServerLimits";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { createManualClock } from "../support/createManualClock";
import { unlimitedQuotas } from "../workspaceQuotas/unlimitedQuotas";
import { createTestControl } from "./createTestControl";
import { createTestServers } from "./createTestServers";
import { SimulatedFaults } from "./SimulatedFaults";

/** The load and the faults of a simulation. */
export interface RequestSimulationOptions extends SimulatedFaults {
    /** Whether the requests go to engines or to plain servers. */
    kind?: "engine" | "plain";
    /** The number of requests that crash servers, each of which comes again and again. */
    guiltyRequests?: number;
    /** The time between two deliveries of a guilty request, in milliseconds; each is sent again once if it fails. */
    guiltyIntervalMilliseconds?: number;
    /** A sound request like the guilty one but for one field. */
    twin?: "otherBody" | "otherWorkspace";
    serverCount?: number;
    entryCount?: number;
    /** Whether a request whose server was lost is sent to another one; true by default. */
    resendsLost?: boolean;
}

/** What a simulation has shown. */
export interface RequestSimulationResult {
    /** The crashes under each guilty request. */
    crashes: readonly number[];
    /** The runs of each guilty request that began later than 3 s after it had crashed the third server. */
    lateRuns: readonly number[];
    /** The sound requests that were refused as quarantined, each once. */
    falseVerdicts: readonly string[];
    /** The share of the idempotent sound requests that were served. */
    soundServedShare: number;
    /** The same with one delivery more where the first one failed. */
    soundServedTwiceShare: number;
}

const endMilliseconds = 40_000;
const stepMilliseconds = 10;
const soundIntervalMilliseconds = 20;
const soundSubjectCount = 60;
const twinIntervalMilliseconds = 300;
const listIntervalMilliseconds = 300;
const listLagMilliseconds = 800;
const guiltyFromMilliseconds = 5_000;
const resendDelayMilliseconds = 50;
const crashesUntilDecided = 3;
const decisionMilliseconds = 3_000;
const workspaces = ["alpha", "beta"];

/** Plays sound requests, requests that crash servers, and other faults, through whole entry processes in virtual time. */
export async function simulateCrashingRequests(options: RequestSimulationOptions): Promise<RequestSimulationResult> {
    const { kind = "plain", guiltyRequests = 1, guiltyIntervalMilliseconds = 5_000, crashShare = 1 } = options;
    const { serverCount = kind === "plain" ? 3 : 8, entryCount = 5 } = options;
    const clock = createManualClock();
    const random = createRandomSource(options.seed);
    const path = kind === "plain" ? "/reads/" : "/labels/";
    const crashTimes = Array.from({ length: guiltyRequests }, (): number[] => []);
    const lateRuns = Array.from({ length: guiltyRequests }, () => 0);
    const falseVerdicts = new Set<string>();
    const sound = { sent: 0, served: 0, servedTwice: 0 };
    const servers = createTestServers({
        kind,
        count: serverCount,
        clock,
        random,
        brokenShare: options.brokenShare ?? 0,
        lostShare: options.lostShare ?? 0,
        crashes: request => getGuiltyIndex(request) !== undefined && random.getFraction() < crashShare,
        onRun: request => {
            const index = getGuiltyIndex(request);
            const decided = index === undefined ? undefined : crashTimes[index]![crashesUntilDecided - 1];
            if (decided !== undefined && clock.getMonotonicMilliseconds() > decided + decisionMilliseconds) {
                lateRuns[index!]! += 1;
            }
        },
        onCrash: request => crashTimes[getGuiltyIndex(request)!]!.push(clock.getMonotonicMilliseconds()),
    });
    const document = createTestDocument({
        workspaces: workspaces.map(name => ({
            name,
            apiKeys: [`${name}-key`],
            priority: 1,
            isIsolated: false,
            quota: undefined,
        })),
    });
    const control = createTestControl(clock, document);
    control.setInstances(servers.getInstances());
    const entries = Array.from({ length: entryCount }, (...[, index]) => startEntry(index, 0));
    let requestCount = 0;
    await clock.advance(1_000);
    for (let now = 1_000; now < endMilliseconds; now += stepMilliseconds) {
        await playStep(now);
        await clock.advance(stepMilliseconds);
    }
    return {
        crashes: crashTimes.map(times => times.length),
        lateRuns,
        falseVerdicts: [...falseVerdicts],
        soundServedShare: sound.served / sound.sent,
        soundServedTwiceShare: sound.servedTwice / sound.sent,
    };

    async function playStep(now: number): Promise<void> {
        if (now % soundIntervalMilliseconds === 0) {
            void sendSound(Math.floor(soundSubjectCount * random.getFraction() ** 2));
        }
        const sinceGuilty = now - guiltyFromMilliseconds;
        if (sinceGuilty >= 0 && sinceGuilty % guiltyIntervalMilliseconds === 0) {
            crashTimes.forEach((...[, index]) => void deliver(getGuiltyRequest(index)));
        }
        if (options.twin !== undefined && now % twinIntervalMilliseconds === 0) {
            void sendCounted(
                options.twin === "otherBody"
                    ? { ...getGuiltyRequest(0), body: Buffer.from("another body") }
                    : { ...getGuiltyRequest(0), apiKey: "beta-key" },
            );
        }
        if (options.stormMilliseconds?.includes(now)) {
            servers.crash(
                Array.from({ length: Math.ceil(serverCount / 2) }, (...[, index]) => 2 * index)
                    .filter(index => index < serverCount),
            );
        }
        if (random.getFraction() < (options.otherCrashesPerSecond ?? 0) * stepMilliseconds / 1_000) {
            servers.crash([random.getInteger(serverCount)]);
        }
        const restartCount = now / (options.restartIntervalMilliseconds ?? Infinity);
        if (restartCount > 0 && Number.isInteger(restartCount)) {
            void servers.restart(restartCount % serverCount);
        }
        const [cutFrom, cutTo] = options.controlCutMilliseconds ?? [Infinity, Infinity];
        control.setReachable(now < cutFrom || now >= cutTo);
        if (options.leaderChangeMilliseconds?.includes(now)) {
            control.changeLeader();
        }
        if (options.entryRestartMilliseconds?.includes(now)) {
            const index = random.getInteger(entryCount);
            entries[index]!.stop();
            entries[index] = startEntry(index, now);
        }
        if (now % listIntervalMilliseconds === 0) {
            const instances = servers.getInstances();
            void clock.sleep(listLagMilliseconds).then(() => control.setInstances(instances));
        }
    }

    function startEntry(index: number, startMilliseconds: number): { forwarder: Forwarder; stop(): void; } {
        const stopController = new AbortController();
        const { signal } = stopController;
        const entryId = `entry-${index}`;
        const common = { clock, logger: createSilentLogger(), metrics: createMetrics(), signal };
        const state = createFeedState({ ...common, decode: decodeTestDocument });
        const { link } = servers;
        const facts = createTestFactStore(clock, `${entryId} ${startMilliseconds}`);
        const crashQuarantine = createCrashQuarantine({
            ...common,
            state,
            facts,
            incarnation: `${entryId}.${startMilliseconds}`,
            checkInstance: link.checkInstance,
        });
        const entryRandom = createRandomSource(options.seed + index);
        void runFeed({
            ...common,
            entryId,
            getSeedAddresses: () => ["control"],
            client: control,
            state,
            factSync: createFactSync(facts),
            onBeforePoll: () => publishCrashReport(facts, crashQuarantine.getReport(), clock),
            random: entryRandom,
        });
        const forwarder = createForwarder({
            plannedStop: createPlannedStop(clock),
            pollConnections: () => Promise.resolve(),
            facts,
            ...common,
            state,
            link,
            crashQuarantine: options.resendsLost ?? true
                ? crashQuarantine
                : { ...crashQuarantine, isSuspected: () => true },
            serverLimits: createTestServerLimits(state, clock, entryId),
            streamOrigins: createTestStreamOrigins(),
            workspaceQuotas: unlimitedQuotas,
            kvCacheStores: { isReachable: () => false, hasPart: () => false },
            dataCentre: "west",
            maximumDocumentAgeMilliseconds: 60_000,
            supersededWeightsGraceMilliseconds: 10_000,
            retryShare: 0.2,
            retryReserve: 50,
            retryWindowMilliseconds: 0,
            random: entryRandom,
        });
        return { forwarder, stop: () => stopController.abort() };
    }

    /** Gets the index of a request that crashes servers; undefined for a sound one. */
    function getGuiltyIndex({ target, body, apiKey }: ForwardedRequest): number | undefined {
        const index = crashTimes.findIndex((...[, count]) => target === `${path}guilty-${count}`);
        return index >= 0 && body.length === 0 && apiKey === "alpha-key" ? index : undefined;
    }

    function getGuiltyRequest(index: number): ForwardedRequest {
        return createRequest(`${path}guilty-${index}`, "alpha");
    }

    function createRequest(target: string, workspace: string): ForwardedRequest {
        const { prompt } = createTestRequest.createPrompt(target);
        const parts = [{ id: "a1", tokens: 100 }, { id: `b${target.length}`, tokens: 100 }, { id: "c3", tokens: 100 }];
        return createTestRequest({
            method: "GET",
            target,
            path: target,
            body: new Uint8Array(),
            apiKey: `${workspace}-key`,
            prompt: kind === "engine" ? { ...prompt!, parts } : undefined,
        });
    }

    async function sendSound(subject: number): Promise<void> {
        const workspace = workspaces[random.getInteger(workspaces.length)]!;
        if (kind === "plain" && random.getInteger(2) === 0) {
            await deliver({ ...createRequest(`/releases/${requestCount}`, workspace), method: "POST" }, 0);
            return;
        }
        await sendCounted(createRequest(`${path}${subject}`, workspace));
    }

    async function sendCounted(request: ForwardedRequest): Promise<void> {
        sound.sent += 1;
        const isServed = await deliver(request, 0);
        sound.served += isServed ? 1 : 0;
        const isServedTwice = isServed || await deliver(request, 0);
        sound.servedTwice += isServedTwice ? 1 : 0;
    }

    /** Sends a request, and again to another entry process where that fails; returns whether it was served. */
    async function deliver(request: ForwardedRequest, resends = 1): Promise<boolean> {
        const reply = createTestReply();
        await entries[random.getInteger(entryCount)]!.forwarder.forward({
            ...request,
            requestId: `request-${requestCount++}`,
            arrivalMilliseconds: clock.getMonotonicMilliseconds(),
        }, reply);
        const refusal = reply.getRefusal();
        if (refusal?.reason === RefusalReason.QUARANTINED && getGuiltyIndex(request) === undefined) {
            falseVerdicts.add(`${request.apiKey} ${request.target}`);
        }
        if (/^200 .*(whole|end)$/s.test(reply.getText())) {
            return true;
        }
        await clock.sleep(resendDelayMilliseconds);
        return resends > 0 && await deliver(request, resends - 1);
    }
}
