/*
 * One control member and one entry process of the built programs, with small limits, and one plain service behind them.
 */
import { ChildProcess, execFileSync, spawn } from "node:child_process";
import { closeSync, mkdtempSync, openSync, readdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";

const ips = { control: "127.94.1.1", entry: "127.94.1.11", service: "127.94.1.31" };
const ports = { caller: 8_080, readiness: 8_081, operator: 8_083, internal: 7_340, metrics: 9_464 };
const startTimeoutMilliseconds = 30_000;
const pollMilliseconds = 100;
const kilobyte = 1_024;

/** The memory of each process in the settings, in megabytes: that of the smallest instances. */
export const crowdMemoryMegabytes = 160;
/** The maximum size of a body in the routing document, in bytes. */
export const crowdBodyBytes = 2_097_152;

/** One of the processes. */
export interface CrowdProcess {
    /** The addresses that it listens on, as `ip:port`. */
    addresses: Record<"caller" | "readiness" | "operator" | "metrics", string>;
    /** Returns whether it has run since its start. */
    isAlive(): boolean;
    /** Gets the most memory that it has occupied since its start, in megabytes. */
    getPeakMegabytes(): number;
    /** Gets the number of its open descriptors. */
    getDescriptorCount(): number;
}

/** The processes. */
export interface CrowdDeployment {
    control: CrowdProcess;
    entry: CrowdProcess;
    /** Ends the processes. */
    stop(): Promise<void>;
}

/**
 * Starts the processes, and waits until the entry process serves requests.
 * @param maximumDescriptors - The descriptors of each process in the settings.
 */
export async function startCrowdDeployment(maximumDescriptors: number): Promise<CrowdDeployment> {
    execFileSync(process.execPath, [join("scripts", "buildPlatform.mjs")]);
    const folder = mkdtempSync(join(tmpdir(), "crowd-"));
    const service = createServer((received, response) => {
        received.resume();
        received.on("end", () =>
            response.writeHead(200, {
                "basilwing-instance-id": "actions-1",
                "basilwing-request-id": received.headers["basilwing-request-id"] ?? "",
                "basilwing-response-seal": "seal",
            }).end("served"));
    });
    await new Promise<void>(resolve => service.listen(0, ips.service, resolve));
    const serviceAddress = `${ips.service}:${(service.address() as AddressInfo).port}`;
    const list = createServer((...[, response]) =>
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify({
            instances: [{
                id: "actions-1",
                service: "actions",
                address: serviceAddress,
                zone: "zone-a",
                version: "v1",
                slots: 64,
                state: "ready",
                cold_remaining_ms: 0,
            }],
        }))
    );
    await new Promise<void>(resolve => list.listen(0, ips.service, resolve));
    const listAddress = `${ips.service}:${(list.address() as AddressInfo).port}`;
    const children = [
        startProgram("control", folder, listAddress, maximumDescriptors),
        startProgram("entry", folder, listAddress, maximumDescriptors),
    ] as const;
    process.once("exit", killChildren);
    const [control, entry] = children.map(({ ip, child }) => createProcess(ip, child)) as [CrowdProcess, CrowdProcess];
    try {
        await waitFor(`http://${control.addresses.operator}/basilwing/config`, createDocument());
        await waitFor(`http://${entry.addresses.readiness}/`);
        await waitFor(`http://${entry.addresses.caller}/read/first`);
    }
    catch (thrown) {
        await stop();
        throw thrown;
    }
    return { control, entry, stop };

    function killChildren(): void {
        children.forEach(({ child }) => child.kill("SIGKILL"));
    }

    async function stop(): Promise<void> {
        process.off("exit", killChildren);
        killChildren();
        [service, list].forEach(server => server.close().closeAllConnections());
        await sleep(pollMilliseconds);
        rmSync(folder, { recursive: true, force: true });
    }
}

/** Starts a program with the memory limits of deploy/system.toml. */
function startProgram(role: "control" | "entry", folder: string, listAddress: string, maximumDescriptors: number) {
    const ip = ips[role];
    const settingsFile = join(folder, `${role}.json`);
    writeFileSync(
        settingsFile,
        JSON.stringify({
            node_name: role,
            ip,
            zone: "zone-a",
            listen: role === "entry"
                ? { front: `${ip}:${ports.caller}`, ready: `${ip}:${ports.readiness}` }
                : { control: `${ip}:${ports.operator}` },
            port_range: [ports.internal, ports.internal + 15],
            seeds: [`${ips.control}:${ports.operator}`],
            bootstrap: true,
            limits: { memory_mb: crowdMemoryMegabytes, max_fds: maximumDescriptors },
            data_dir: role === "control" ? folder : undefined,
            fault_tolerance: { machines: 0 },
            bounds: { grace_s: 8 },
            cloud_api: { address: listAddress, rate_per_s: 40 },
        }),
    );
    const log = openSync(join(folder, `${role}.log`), "a");
    const heapMegabytes = role === "entry" ? 120 : 160;
    const child = spawn(process.execPath, [`--max-old-space-size=${heapMegabytes}`, join("target", `${role}.js`)], {
        env: { PATH: process.env.PATH, BASILWING_SETTINGS: settingsFile },
        stdio: ["ignore", log, log],
    });
    closeSync(log);
    return { ip, child };
}

function createProcess(ip: string, child: ChildProcess): CrowdProcess {
    const folder = `/proc/${child.pid}`;
    return {
        addresses: {
            caller: `${ip}:${ports.caller}`,
            readiness: `${ip}:${ports.readiness}`,
            operator: `${ip}:${ports.operator}`,
            metrics: `${ip}:${ports.metrics}`,
        },
        isAlive: () => typeof child.exitCode !== "number" && typeof child.signalCode !== "string",
        getPeakMegabytes: () => {
            const status = readFileSync(join(folder, "status"), "utf8");
            return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1]) / kilobyte;
        },
        getDescriptorCount: () => readdirSync(join(folder, "fd")).length,
    };
}

/** Sends a request again until it is answered with status 200. */
async function waitFor(url: string, content?: object): Promise<void> {
    const end = performance.now() + startTimeoutMilliseconds;
    let status: number | undefined;
    while (performance.now() < end) {
        const response = await request(url, {
            method: content ? "PUT" : "GET",
            headers: { "host": "crowd.example", "basilwing-request-id": "first" },
            body: content && JSON.stringify(content),
        }).catch(() => undefined);
        await response?.body.dump();
        status = response?.statusCode;
        if (status === 200) {
            return;
        }
        await sleep(pollMilliseconds);
    }
    throw new Error(`${url} was not answered with status 200, but with ${status}`);
}

function createDocument(): object {
    return {
        version: 1,
        routes: [{
            name: "read",
            host: "crowd.example",
            path_prefix: "/read/",
            kind: "safe",
            timeout_ms: 20_000,
            target_latency_ms: 600,
            priority: 0,
            service: "actions",
            max_attempts: 2,
            public: true,
        }],
        services: [{ name: "actions", health_path: "/health", max_connections: 200 }],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: crowdBodyBytes,
            header_timeout_ms: 10_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [],
    };
}
