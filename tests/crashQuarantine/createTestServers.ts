import { InstanceState } from "../../src/crashQuarantine";
import { AttemptResult, BackendAttempt, BackendLink, ForwardedRequest } from "../../src/forwarding";
import { FleetInstance } from "../../src/protocol";
import { RandomSource } from "../../src/runtime";
import { createTestInstance } from "../feed/createTestFeed";
import { createTestLink, createTestResponse, lostResult } from "../forwarding/createTestLink";
import { ManualClock } from "../support/createManualClock";

const downMilliseconds = 3_000;
const minimumRunMilliseconds = 15;
const runSpreadMilliseconds = 90;
const minimumCrashDelayMilliseconds = 30;
const crashDelaySpreadMilliseconds = 60;

/** The options of `createTestServers`. */
interface TestServersOptions {
    kind: "engine" | "plain";
    count: number;
    clock: ManualClock;
    random: RandomSource;
    /** The share of the responses that break off without a crash. */
    brokenShare: number;
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
}

/** Creates the servers of a service; some requests crash the server that runs them. */
export function createTestServers(options: TestServersOptions): TestServers {
    const { kind, count, clock, random } = options;
    const servers = Array.from({ length: count }, (...[, index]): TestServer => ({
        address: `10.0.0.${index}:80`,
        startCount: 1,
        downUntilMilliseconds: 0,
        crashController: new AbortController(),
    }));
    return {
        link: {
            ...createTestLink(send),
            checkInstance: instance => {
                const server = getServer(instance);
                const isServing = !isDown(server) && getInstanceId(server) === instance.instanceId;
                return Promise.resolve(isServing ? InstanceState.Serving : InstanceState.Ended);
            },
        },
        getInstances: () => servers.filter(server => !isDown(server)).map(createInstance),
        crash: indexes => indexes.map(index => servers[index]!).filter(server => !isDown(server)).forEach(crash),
    };

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
        if (getInstanceId(server) !== instance.instanceId) {
            return {
                kind: "notRun",
                isMisdirected: true,
                answeredBy: getInstanceId(server),
                status: 421,
                retryAfterMilliseconds: undefined,
                load: undefined,
                requestLimit: { kind: "none" },
            };
        }
        const { signal } = server.crashController;
        const isCrashing = options.crashes(request);
        options.onRun(request);
        if (isCrashing) {
            void crashLater(server, request, signal);
        }
        const runMilliseconds = minimumRunMilliseconds + random.getInteger(runSpreadMilliseconds);
        const isBroken = random.getFraction() < options.brokenShare;
        if (kind === "engine") {
            return createStream(signal, isCrashing ? Infinity : runMilliseconds, isBroken);
        }
        await clock.sleep(isCrashing ? Infinity : runMilliseconds, signal);
        return signal.aborted ? lostResult : createTestResponse(["answer"], !isBroken);
    }

    async function crashLater(server: TestServer, request: ForwardedRequest, signal: AbortSignal): Promise<void> {
        await clock.sleep(minimumCrashDelayMilliseconds + random.getInteger(crashDelaySpreadMilliseconds), signal);
        if (!signal.aborted) {
            options.onCrash(request);
            crash(server);
        }
    }

    /** Creates a response that begins at once and ends after a time, or with the crash of its engine. */
    function createStream(signal: AbortSignal, runMilliseconds: number, isBroken: boolean): AttemptResult {
        return {
            ...createTestResponse([]) as Extract<AttemptResult, { kind: "answered"; }>,
            body: (async function*() {
                await clock.sleep(runMilliseconds, signal);
                if (!signal.aborted && !isBroken) {
                    yield Buffer.from("id: 1\ndata: x\n\n");
                }
            })(),
            hold: () => undefined,
            isComplete: () => !signal.aborted && !isBroken,
        };
    }
}
