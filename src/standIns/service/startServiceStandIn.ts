/*
 * Starts a stand-in for a plain service with the actions release and publish, which must not run twice, and a status
 * query.
 */
import { IncomingMessage, ServerResponse } from "node:http";
import { createRandomSource, createSystemClock } from "../../runtime";
import { readBody } from "../readBody";
import { sendJson } from "../sendJson";
import { startStandInServer } from "../startStandInServer";
import { createRunLog } from "./createRunLog";
import { RunLogEntry } from "./RunLogEntry";
import { ServiceFaults } from "./ServiceFaults";
import { ServiceStandIn } from "./ServiceStandIn";
import { ServiceStandInOptions } from "./ServiceStandInOptions";

const defaultCallMilliseconds = 20;
const defaultRestartMilliseconds = 500;
const incarnationSuffixLimit = 0x1_0000_0000;
const actions = ["release", "publish"];

/**
 * Starts a replica of a service stand-in, which serves HTTP.
 * @param options - The options that differ from the defaults.
 */
export async function startServiceStandIn(options: ServiceStandInOptions = {}): Promise<ServiceStandIn> {
    const clock = options.clock ?? createSystemClock();
    const random = options.random ?? createRandomSource(1);
    const runLog = options.runLog ?? createRunLog();
    const stopped = new AbortController();
    let faults = options.faults ?? {};
    let incarnation = createIncarnationName();
    let restarting: Promise<void> | undefined;
    const server = await startStandInServer(options.port ?? 0, handle, options.address);
    return {
        address: server.address,
        stop,
        crash,
        getIncarnation: () => incarnation,
        setFaults: newFaults => faults = newFaults,
    };

    function createIncarnationName(): string {
        const suffix = random.getInteger(incarnationSuffixLimit).toString(16).padStart(8, "0");
        return `${options.name ?? "service"}-${suffix}`;
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const requestId = String(request.headers["x-request-id"] ?? "");
        const url = new URL(request.url ?? "/", "http://service");
        const action = url.pathname.slice(1);
        response.setHeader("x-request-id", shouldInjectFault("crossedShare") ? `${requestId}-other` : requestId);
        if (request.method === "POST" && actions.includes(action)) {
            await runAction(request, response, action, requestId);
        }
        else if (request.method === "GET" && action === "status") {
            await sendStatus(response, url);
        }
        else if (request.method === "POST" && action === "run-log") {
            const entry = JSON.parse((await readBody(request)).toString("utf8")) as RunLogEntry;
            sendJson(response, 200, { runs: await runLog.addRun(entry.action, entry.key, entry.requestId) });
        }
        else if (request.method === "GET" && action === "health") {
            sendJson(response, 200, { incarnation });
        }
        else if (request.method === "POST" && url.pathname === "/administration/crash") {
            response.on("finish", () => void crash());
            response.writeHead(202).end();
        }
        else {
            sendJson(response, 404, { error: "The path is unknown" });
        }
    }

    /** Runs an action and responds with the number of runs on its key. */
    async function runAction(
        request: IncomingMessage,
        response: ServerResponse,
        action: string,
        requestId: string,
    ): Promise<void> {
        const body = (await readBody(request)).toString("utf8");
        const key = getKey(body);
        if (key === undefined) {
            sendJson(response, 400, { error: "A key is missing" });
            return;
        }
        if (shouldInjectFault("resetBeforeRunShare")) {
            request.socket.resetAndDestroy();
            return;
        }
        const initialIncarnation = incarnation;
        await clock.sleep(options.callMilliseconds ?? defaultCallMilliseconds);
        if (initialIncarnation !== incarnation || restarting !== undefined) {
            return;
        }
        const runs = await runLog.addRun(action, key, requestId);
        if (shouldInjectFault("resetAfterRunShare")) {
            request.socket.resetAndDestroy();
            return;
        }
        await sendResult(response, { action, key, runs });
    }

    async function sendStatus(response: ServerResponse, url: URL): Promise<void> {
        const key = url.searchParams.get("key") ?? "";
        const action = url.searchParams.get("action") ?? "release";
        await sendResult(response, { key, runs: await runLog.getRuns(action, key) });
    }

    /** Sends a response, with the injected faults. */
    async function sendResult(response: ServerResponse, value: unknown): Promise<void> {
        if (shouldInjectFault("lateShare")) {
            await clock.sleep(faults.lateMilliseconds ?? 0);
        }
        if (!shouldInjectFault("truncatedShare")) {
            sendJson(response, 200, value);
            return;
        }
        const body = JSON.stringify(value);
        response.writeHead(200, { "content-type": "application/json", "content-length": body.length });
        response.write(body.slice(0, body.length / 2), () => response.destroy());
    }

    function shouldInjectFault(name: Exclude<keyof ServiceFaults, "lateMilliseconds">): boolean {
        const share = faults[name];
        return share !== undefined && random.getFraction() < share;
    }

    function crash(): Promise<void> {
        restarting ??= restart();
        return restarting;
    }

    async function restart(): Promise<void> {
        await server.crash();
        await clock.sleep(options.restartMilliseconds ?? defaultRestartMilliseconds, stopped.signal);
        if (!stopped.signal.aborted) {
            incarnation = createIncarnationName();
            await server.restart();
        }
        restarting = undefined;
    }

    async function stop(): Promise<void> {
        stopped.abort();
        await restarting;
        await server.stop();
    }
}

/** Gets the key in a request's body; undefined if it is missing or the body is not JSON. */
function getKey(body: string): string | undefined {
    try {
        const key = (JSON.parse(body) as { key?: unknown; }).key;
        return typeof key === "string" ? key : undefined;
    }
    catch {
        return undefined;
    }
}
