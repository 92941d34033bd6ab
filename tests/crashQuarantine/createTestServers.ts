import { InstanceState } from "../../src/crashQuarantine";
import { AttemptResult, BackendAttempt, BackendLink, ForwardedRequest } from "../../src/forwarding";
import { FleetInstance } from "../../src/protocol";
import { RandomSource } from "../../src/runtime";
import { createTestInstance } from "../feed/createTestFeed";
import { createTestLink, createTestResponse, lostResult, overloadedResult } from "../forwarding/createTestLink";
import { ManualClock } from "../support/createManualClock";

const downMilliseconds = 3_000;
const minimumRunMilliseconds = 15;
const runSpreadMilliseconds = 90;
const minimumCrashDelayMilliseconds = 30;
const crashDelaySpreadMilliseconds = 60;
const probeMilliseconds = 10;
const restartPollMilliseconds = 10;

/** The options of `createTestServers`. */
interface TestServersOptions {
    kind: "engine" | "plain";
    count: number;
    clock: ManualClock;
    random: RandomSource;
    /** The share of the responses that break off without a crash. */
    brokenShare: number;
    /** The share of the answers that are lost with their connection, also of those to a former id. */
    lostShare: number;
    /** Returns whether a request crashes the server in this run. */
    crashes(request: ForwardedRequest): boolean;
    /** Called when a run begins. */
    onRun(request: ForwardedRequest): void;
    /** Called when a request has crashed its server. */
    onCrash(request: ForwardedRequest): void;
}

/** A server that is back under another id after each crash. */
interface TestServer {
    readonly address: string;
    startCount: number;
    downUntilMilliseconds: number;
    /** Whether it takes no more requests, since it restarts once it has ended its runs. */
    isRestarting: boolean;
    runCount: number;
    crashController: AbortController;
}

/** Backend servers of one service. */
export interface TestServers {
    /** Sends requests to them. */
    readonly link: BackendLink;
    /** Gets those that serve, as the platform lists them. */
    getInstances(): readonly FleetInstance[];
    /** Crashes some of them for another reason than a request. */
    crash(indexes: readonly number[]): void;
    /** Restarts one as planned. */
    restart(index: number): Promise<void>;
}

/** Creates the servers of a service; some requests crash the server that runs them. */
export function createTestServers(options: TestServersOptions): TestServers {
    const { kind, count, clock, random } = options;
    const servers = Array.from({ length: count }, (...[, index]): TestServer => ({
        address: `10.0.0.${index}:80`,
        startCount: 1,
        downUntilMilliseconds: 0,
        isRestarting: false,
        runCount: 0,
        crashController: new AbortController(),
    }));
    return {
        link: {
            ...createTestLink(send),
            checkInstance,
        },
        getInstances: () => servers.filter(server => !isDown(server)).map(createInstance),
        crash: indexes => indexes.map(index => servers[index]!).filter(server => !isDown(server)).forEach(crash),
        restart: index => restart(servers[index]!),
    };

    async function checkInstance(instance: FleetInstance): Promise<InstanceState> {
        await clock.sleep(probeMilliseconds);
        const server = getServer(instance);
        if (isDown(server)) {
            return InstanceState.Refusing;
        }
        return getInstanceId(server) === instance.instanceId ? InstanceState.Serving : InstanceState.Ended;
    }

    async function restart(server: TestServer): Promise<void> {
        const { startCount } = server;
        server.isRestarting = true;
        while (server.runCount > 0 && server.startCount === startCount) {
            await clock.sleep(restartPollMilliseconds);
        }
        server.isRestarting = false;
        if (server.startCount === startCount) {
            server.startCount += 1;
        }
    }

    function createInstance(server: TestServer): FleetInstance {
        const service = kind === "engine" ? "models" : "actions";
        return createTestInstance({ instanceId: getInstanceId(server), address: server.address, service });
    }

    function getInstanceId({ address, startCount }: TestServer): string {
        return `${address}-${startCount}`;
    }

    function getServer(instance: FleetInstance): TestServer {
        return servers.find(server => server.address === instance.address)!;
    }

    function isDown(server: TestServer): boolean {
        return server.downUntilMilliseconds > clock.getMonotonicMilliseconds();
    }

    function crash(server: TestServer): void {
        server.startCount += 1;
        server.downUntilMilliseconds = clock.getMonotonicMilliseconds() + downMilliseconds;
        server.crashController.abort();
        server.crashController = new AbortController();
    }

    async function send(attempt: BackendAttempt): Promise<AttemptResult> {
        const { request, instance } = attempt;
        const server = getServer(instance);
        if (isDown(server)) {
            return { kind: "notSent", reason: "connect ECONNREFUSED" };
        }
        const isLost = options.lostShare > 0 && random.getFraction() < options.lostShare;
        if (getInstanceId(server) !== instance.instanceId) {
            return isLost ? lostResult : {
                kind: "notRun",
                isMisdirected: true,
                answeredBy: getInstanceId(server),
                status: 421,
                retryAfterMilliseconds: undefined,
                load: undefined,
                requestLimit: { kind: "none" },
            };
        }
        if (server.isRestarting) {
            return overloadedResult;
        }
        const { signal } = server.crashController;
        const isCrashing = options.crashes(request);
        options.onRun(request);
        if (isCrashing) {
            void crashLater(server, request, signal);
        }
        const runMilliseconds = minimumRunMilliseconds + random.getInteger(runSpreadMilliseconds);
        const isBroken = random.getFraction() < options.brokenShare;
        const run = playRun(server, isCrashing ? Infinity : runMilliseconds);
        if (kind === "engine" && !isLost) {
            return createStream(signal, run, isBroken);
        }
        await run;
        return signal.aborted || isLost ? lostResult : createTestResponse(["answer"], !isBroken);
    }

    async function playRun(server: TestServer, milliseconds: number): Promise<void> {
        server.runCount += 1;
        await clock.sleep(milliseconds, server.crashController.signal);
        server.runCount -= 1;
    }

    async function crashLater(server: TestServer, request: ForwardedRequest, signal: AbortSignal): Promise<void> {
        await clock.sleep(minimumCrashDelayMilliseconds + random.getInteger(crashDelaySpreadMilliseconds), signal);
        if (!signal.aborted) {
            options.onCrash(request);
            crash(server);
        }
    }

    /** Creates a response that begins at once and ends with its run, or with the crash of its engine. */
    function createStream(signal: AbortSignal, run: Promise<void>, isBroken: boolean): AttemptResult {
        return {
            ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
            body: (async function*() {
                await run;
                if (!signal.aborted && !isBroken) {
                    yield Buffer.from("id: 1\ndata: x\n\n");
                }
            })(),
            hold: () => undefined,
            isComplete: () => !signal.aborted && !isBroken,
        };
    }
}
