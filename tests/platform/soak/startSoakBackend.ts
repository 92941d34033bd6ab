/*
 * A stand-in for an engine or a plain service of the platform: sends single responses, streams events and accepts orders
 * to load weights.
 */
import { createServer, IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { RandomSource } from "../../../src/runtime";
import { CrashingSubject } from "./CrashingSubject";
import { SoakAnswerFaults } from "./createSoakAnswerFaults";
import { SoakRequestLimit } from "./createSoakRequestLimit";
import { formatSoakEvent } from "./formatSoakEvent";
import { resetSocket } from "./resetSocket";
import { RunTracker } from "./RunTracker";
import { sendSoakResponse } from "./sendSoakResponse";
import { SoakAnswerFault } from "./SoakAnswerFault";
import { SoakBackend } from "./SoakBackend";
import { soakCrashingBody } from "./soakCrashingBody";
import { soakCrashingPart } from "./soakCrashingPart";
import { soakModel } from "./soakModel";
import { soakSoftwareVersions } from "./soakSoftwareVersions";
import { startSoakProxy } from "./startSoakProxy";
import { writeWithoutEnd } from "./writeWithoutEnd";

const eventCount = 8;
const serviceMilliseconds = 120;
const weightsLoadMilliseconds = 300;
/** The share of requests that are refused with a response without end. */
const endlessRefusalShare = 0.005;
/** How long a backend server runs a request that crashes it. */
const crashDelayMilliseconds = 60;
/** How long a backend server that a request has crashed accepts no connections. */
const crashDownMilliseconds = 500;
/** How long a backend server waits at most for the end of its requests before it restarts; it doesn't restart otherwise. */
const maximumDrainMilliseconds = 2_000;
const drainPollMilliseconds = 10;
/** The time within which everything has arrived that was held during a silence. */
const releaseMilliseconds = 250;

/** The options of `startSoakBackend`. */
interface SoakBackendOptions {
    /** The loopback address to listen on. */
    ip: string;
    /** The first part of its instance ids; the second part counts its starts. */
    name: string;
    /** The service that it belongs to. */
    service: string;
    /** Whether it is an engine, which streams events, or a plain service. */
    isEngine: boolean;
    /** The version of its software at first. */
    softwareVersion: string;
    /** The limit that it names; undefined for none. */
    requestLimit?: SoakRequestLimit;
    /** The faults of its answers; undefined for none. */
    answerFaults?: SoakAnswerFaults;
    /** Records the runs of requests. */
    runTracker: RunTracker;
    /** Chooses how streams are framed and which of them are broken off. */
    random: RandomSource;
}

/** Starts a backend server on a port that the operating system chooses. */
export async function startSoakBackend(options: SoakBackendOptions): Promise<SoakBackend> {
    const { ip, name, service, isEngine, requestLimit, answerFaults, runTracker, random } = options;
    const sockets = new Set<Socket>();
    let isRestarting = false;
    const runningIds = new Set<string>();
    let downUntilMilliseconds = 0;
    let startCount = 1;
    let softwareVersion = options.softwareVersion;
    let weightsVersion = 1;
    let orderCount = 0;
    let highestFencingToken = 0;
    let isLoading = false;
    let failingShare = 0;
    let silence = Promise.resolve();
    let silenceCount = 0;
    const server = createServer((request, response) => void handle(request, response));
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
        if (Date.now() < downUntilMilliseconds) {
            resetSocket(socket);
        }
    });
    await new Promise<void>(resolve => server.listen(0, ip, resolve));
    const proxy = await startSoakProxy(ip, `${ip}:${(server.address() as { port: number; }).port}`);
    return {
        name,
        service,
        proxy,
        getListEntry,
        fallSilent,
        setFailingShare: share => failingShare = share,
        crash,
        restart,
        stop: () => {
            server.close();
            server.closeAllConnections();
        },
    };

    function getInstanceId(): string {
        return `${name}-${startCount}`;
    }

    function getListEntry(): object {
        const models = isEngine ? [{ name: soakModel, version: weightsVersion, adapters: [] }] : [];
        return {
            id: getInstanceId(),
            service,
            address: proxy.address,
            zone: "zone-a",
            version: softwareVersion,
            slots: 64,
            state: "ready",
            cold_remaining_ms: 0,
            ...isEngine ? { stage: "unified", models } : {},
        };
    }

    async function fallSilent(milliseconds: number): Promise<void> {
        silenceCount += 1;
        silence = proxy.hold(milliseconds);
        await silence;
        setTimeout(() => silenceCount -= 1, releaseMilliseconds);
    }

    /** Returns whether requests and closes arrive late, or did a moment ago, because of a silence. */
    function isBehind(): boolean {
        return silenceCount > 0;
    }

    async function restart(): Promise<void> {
        isRestarting = true;
        const startAtRestart = startCount;
        const end = Date.now() + maximumDrainMilliseconds;
        while (runningIds.size > 0 && Date.now() < end) {
            await sleep(drainPollMilliseconds);
        }
        isRestarting = false;
        if (runningIds.size === 0 && startAtRestart === startCount) {
            changeInstance();
            server.closeIdleConnections();
        }
    }

    function crash(): void {
        changeInstance();
        sockets.forEach(resetSocket);
    }

    function changeInstance(): void {
        startCount += 1;
        softwareVersion = pickVersion();
        orderCount = 0;
        highestFencingToken = 0;
        isLoading = false;
        requestLimit?.restart();
    }

    /** Picks the version of the next start: a crash may be followed by a restart or overlap a release. */
    function pickVersion(): string {
        return soakSoftwareVersions[random.getInteger(soakSoftwareVersions.length)]!;
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { socket } = request;
        if (answerFaults?.beginRequest(socket)) {
            return;
        }
        const answeredId = String(request.headers["basilwing-request-id"]);
        response.on("finish", () => answerFaults?.endAnswer(socket, answeredId, response.statusCode));
        const body = await readText(request);
        const statedMilliseconds = request.headers["basilwing-deadline-ms"];
        runTracker.recordArrival(
            answeredId,
            statedMilliseconds === undefined ? undefined : Number(statedMilliseconds),
            !isBehind() && runTracker.isStable(),
        );
        const expectedInstanceId = request.headers["basilwing-expect-instance"];
        const expectedVersion = request.headers["basilwing-expect-version"];
        if (
            expectedInstanceId !== undefined && expectedInstanceId !== getInstanceId()
            || expectedVersion !== undefined && Number(expectedVersion) !== weightsVersion
        ) {
            response.writeHead(421, {
                "basilwing-request-id": String(request.headers["basilwing-request-id"]),
                "basilwing-not-executed": "1",
                "basilwing-instance-id": getInstanceId(),
            }).end();
            return;
        }
        switch (request.url?.split("?")[0]) {
            case "/basilwing/report":
                sendJson(response, 200, getReport());
                return;
            case "/basilwing/order":
                sendJson(response, acceptOrder(JSON.parse(body) as OrderContent), {});
                return;
            case "/health":
                response.writeHead(200, { "basilwing-instance-id": getInstanceId() }).end();
                return;
            default:
                await runRequest(request, response, body);
        }
    }

    function getReport(): object {
        const models = [{ name: soakModel, version: weightsVersion, adapters: [] }];
        const load = { queued: 0, active: 1, kv_used: 0, kv_total: 100_000, handles: 0 };
        return { stage: "unified", models, busy: isLoading, seq_no: orderCount, ...load };
    }

    function acceptOrder(order: OrderContent): number {
        if (order.fencing_token < highestFencingToken) {
            return 412;
        }
        highestFencingToken = order.fencing_token;
        if (isLoading || order.expect !== undefined && order.expect !== orderCount) {
            return 409;
        }
        if (order.version <= weightsVersion) {
            return 200;
        }
        isLoading = true;
        orderCount += 1;
        const startAtOrder = startCount;
        setTimeout(() => {
            if (startAtOrder === startCount) {
                isLoading = false;
                weightsVersion = order.version;
            }
        }, weightsLoadMilliseconds);
        return 202;
    }

    async function runRequest(request: IncomingMessage, response: ServerResponse, body: string): Promise<void> {
        const requestId = String(request.headers["basilwing-request-id"]);
        if (request.headers.authorization !== undefined || !body.includes(requestId) && body !== soakCrashingBody) {
            runTracker.addBreach(`${requestId} came with a key or with a foreign body`);
        }
        if (random.getFraction() < endlessRefusalShare) {
            response.useChunkedEncodingByDefault = false;
            response.removeHeader("transfer-encoding");
            response.writeHead(503, { "basilwing-request-id": requestId, "basilwing-not-executed": "1" })
                .flushHeaders();
            await writeWithoutEnd({ socket: response.socket!, requestId, runTracker, isBehind });
            return;
        }
        const answerFault = body === soakCrashingBody ? undefined : answerFaults?.pick();
        if (isRestarting || answerFault === SoakAnswerFault.Refused) {
            sendJson(response, 503, {}, { "basilwing-request-id": requestId, "basilwing-not-executed": "1" });
            return;
        }
        runTracker.recordRun(requestId, String(request.headers["basilwing-tenant"]), isBehind());
        if (isEngine) {
            const salt = request.headers["basilwing-cache-salt"]?.toString();
            runTracker.recordSalt(requestId, String(request.headers["basilwing-tenant"]), salt);
        }
        if (!isBehind()) {
            requestLimit?.recordArrival();
        }
        const headers = {
            "basilwing-request-id": requestId,
            "basilwing-response-seal": `seal-${requestId}`,
            ...requestLimit?.getHeaders(),
        };
        if (answerFault === SoakAnswerFault.Lost) {
            runTracker.recordBrokenOff(requestId);
            await sleep(serviceMilliseconds);
            response.socket?.destroy();
            return;
        }
        runningIds.add(requestId);
        response.on("close", () => void silence.then(() => runningIds.delete(requestId)));
        const hasCrashingPart = String(request.headers["basilwing-prefix-hash"]).includes(`${soakCrashingPart}:`);
        if (body === soakCrashingBody || isEngine && hasCrashingPart) {
            const subject = body === soakCrashingBody ? "request" : "part";
            await crashUnder(subject, requestId, response, headers);
            return;
        }
        if (failingShare > 0 && random.getFraction() < failingShare) {
            sendJson(response, 500, {}, headers);
            return;
        }
        if (!isEngine) {
            await sleep(serviceMilliseconds);
            sendJson(response, 200, { answer: requestId }, headers);
            return;
        }
        const lastEventId = Number(request.headers["last-event-id"] ?? 0);
        const ids = Array.from({ length: eventCount - lastEventId }, (...[, index]) => lastEventId + 1 + index);
        await sendSoakResponse({
            response,
            requestId,
            runTracker,
            random,
            isBehind,
            headers: { ...headers, "content-type": "text/event-stream" },
            parts: ids.map(id => formatSoakEvent({ id, requestId, softwareVersion, isLast: id === eventCount })),
        });
    }

    /** Crashes under a request, to which an engine first begins to respond. */
    async function crashUnder(
        subject: CrashingSubject,
        requestId: string,
        response: ServerResponse,
        headers: object,
    ): Promise<void> {
        const startAtRequest = startCount;
        if (!isBehind()) {
            runTracker.recordCrashingArrival(subject, requestId);
        }
        if (isEngine) {
            response.writeHead(200, { ...headers, "content-type": "text/event-stream" }).flushHeaders();
        }
        await sleep(crashDelayMilliseconds);
        if (startAtRequest === startCount) {
            runTracker.recordCrash(subject);
            runningIds.forEach(id => runTracker.recordBrokenOff(id));
            downUntilMilliseconds = Date.now() + crashDownMilliseconds;
            crash();
        }
    }
}

/** The body of an order to load weights. */
interface OrderContent {
    /** The version of the weights to load. */
    version: number;
    /** The order is refused if this is lower than that of an earlier order. */
    fencing_token: number;
    /** The number of orders that the backend server must have accepted; undefined where any is right. */
    expect?: number;
}

async function readText(request: IncomingMessage): Promise<string> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
    }
    catch {
        // The sender broke the connection: returns the part of the body that arrived.
    }
    return Buffer.concat(chunks).toString();
}

function sendJson(response: ServerResponse, status: number, content: object, headers: object = {}): void {
    const text = JSON.stringify(content);
    response.writeHead(status, { ...headers, "content-type": "application/json", "content-length": text.length });
    response.end(text);
}
