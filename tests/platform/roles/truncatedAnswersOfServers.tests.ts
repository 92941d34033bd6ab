import { expect } from "chai";
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer, Server } from "node:http";
import { AddressInfo, Socket } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { answerFaults } from "../answerFaults";
import { soakBounds } from "../soak/soakBounds";
import { startPartServer } from "../startPartServer";

const addresses = { control: "127.97.4.1", entry: "127.97.4.2" };
const uploadBytes = 4_000_000;

describe("the platform's entry program, with answers of servers that are no whole answers", () => {
    const body = "answer ".repeat(20);
    const children: ChildProcess[] = [];
    let folder: string;
    let list: Server;
    let servers: Awaited<ReturnType<typeof startPartServer>>[] = [];
    let callCount = 0;
    let respondFirst: ((socket: Socket, fields: string) => void) | undefined;

    before(async () => {
        folder = mkdtempSync(join(tmpdir(), "basilwing-truncated-"));
        servers = await Promise.all([1, 2].map(() => startPartServer(respondEarly, respond)));
        list = createServer((...[, response]) =>
            response.end(JSON.stringify({ instances: servers.map(createListEntry) }))
        );
        list.listen(0, "127.0.0.1");
        await once(list, "listening");
        startProgram("control", { control: `${addresses.control}:9200` });
        startProgram("entry", { front: `${addresses.entry}:9100` });
        await waitForStatus(200, () =>
            request(`http://${addresses.control}:9200/basilwing/config`, {
                method: "PUT",
                body: JSON.stringify(createDocument()),
            }));
        await waitForStatus(200, () => call("read", 4));
    });
    beforeEach(() => callCount = 0);
    after(async () => {
        children.forEach(child => child.kill("SIGKILL"));
        list.close();
        list.closeAllConnections();
        await Promise.all(servers.map(server => server.stop()));
        rmSync(folder, { recursive: true });
    });

    function startProgram(role: "entry" | "control", listen: object): void {
        const dataFolder = join(folder, "data");
        mkdirSync(dataFolder, { recursive: true });
        const settingsFile = join(folder, `${role}.json`);
        writeFileSync(
            settingsFile,
            JSON.stringify({
                node_name: role,
                ip: addresses[role],
                zone: "zone-a",
                listen,
                port_range: [9_201, 9_216],
                seeds: [`${addresses.control}:9200`],
                bootstrap: true,
                data_dir: role === "control" ? dataFolder : undefined,
                fault_tolerance: { machines: 0 },
                bounds: { ...soakBounds, retry_budget_ratio: 1 },
                cloud_api: { address: `127.0.0.1:${(list.address() as AddressInfo).port}` },
            }),
        );
        children.push(spawn(process.execPath, ["--require", "tsx/cjs", join("platform", `${role}.ts`)], {
            env: { PATH: process.env.PATH, BASILWING_SETTINGS: settingsFile },
            stdio: "ignore",
        }));
    }

    function createListEntry(server: { address: string; }, index: number): object {
        return {
            id: `actions-${index}`,
            service: "actions",
            address: server.address,
            zone: "zone-a",
            version: "v1",
            slots: 64,
            state: "ready",
            cold_remaining_ms: 0,
        };
    }

    function createDocument(): object {
        return {
            version: 1,
            routes: [["release", "unsafe"], ["read", "safe"]].map(([name, kind]) => ({
                name,
                host: "one.example",
                path_prefix: `/${name}/`,
                kind,
                timeout_ms: 10_000,
                target_latency_ms: 600,
                priority: 0,
                service: "actions",
                max_attempts: 2,
                public: true,
                resumable: false,
            })),
            services: [{ name: "actions", health_path: "/health", max_connections: 200 }],
            limits: {
                max_header_bytes: 16_384,
                max_body_bytes: 4_194_304,
                header_timeout_ms: 3_000,
                idle_timeout_ms: 15_000,
            },
            tenants: [],
        };
    }

    async function waitForStatus(status: number, send: () => Promise<{ statusCode?: number; } | undefined>) {
        while ((await send().catch(() => undefined))?.statusCode !== status) {
            await sleep(50);
        }
    }

    function respondEarly(socket: Socket, head: string): boolean {
        if (!head.startsWith("POST ")) {
            return false;
        }
        callCount += 1;
        if (callCount === 1 && respondFirst) {
            respondFirst(socket, getFields(head));
            return true;
        }
        return false;
    }

    function respond(socket: Socket, head: string): void {
        socket.end(`HTTP/1.1 200 OK\r\n${getFields(head)}Content-Length: ${body.length}\r\n\r\n${body}`);
    }

    function getFields(head: string): string {
        const [, requestId = ""] = /^basilwing-request-id: (\S+)/im.exec(head) ?? [];
        return `Basilwing-Request-Id: ${requestId}\r\nBasilwing-Response-Seal: seal\r\n`;
    }

    async function call(route: string, bodyBytes: number) {
        const response = await request(`http://${addresses.entry}:9100/${route}/1`, {
            method: "POST",
            headers: { "host": "one.example", "basilwing-request-id": "request-1", "basilwing-deadline-ms": "10000" },
            body: Buffer.alloc(bodyBytes, "x"),
        });
        return { statusCode: response.statusCode, text: await response.body.text() };
    }

    for (const [fault, send] of Object.entries(answerFaults)) {
        for (const bodyBytes of [uploadBytes, 4]) {
            it(`gives the whole answer of another server after ${fault}, to a safe request of ${bodyBytes} bytes`, async () => {
                respondFirst = (socket, fields) => send(socket, { statusLine: "200 OK", fields, body });
                expect(await call("read", bodyBytes)).to.deep.equal({ statusCode: 200, text: body });
                expect(callCount).to.equal(2);
            });
            it(`neither passes ${fault} on nor repeats the request, an unsafe one of ${bodyBytes} bytes`, async () => {
                respondFirst = (socket, fields) => send(socket, { statusLine: "200 OK", fields, body });
                const { statusCode, text } = await call("release", bodyBytes);
                expect({ statusCode, callCount }).to.deep.equal({ statusCode: 502, callCount: 1 });
                expect(text).not.to.include("answer");
            });
        }
    }
});
