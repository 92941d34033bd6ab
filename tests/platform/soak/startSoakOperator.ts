/*
 * Operates a soak: sends changes to any control member until one acknowledges, reads documents back meanwhile, and holds
 * what it reads against what was acknowledged.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { RandomSource } from "../../../src/runtime";
import { RunLedger } from "./RunLedger";
import { soakBounds } from "./soakBounds";
import { soakModel } from "./soakModel";
import { SoakOperator } from "./SoakOperator";
import { soakRoutes } from "./soakRoutes";

const callMilliseconds = 1_000;
const readPauseMilliseconds = 150;

interface SoakOperatorOptions {
    /** Where control members answer operators, as `ip:port`. */
    addresses: readonly string[];
    ledger: RunLedger;
    random: RandomSource;
}

/** Starts the operator, who reads documents until it is stopped. */
export function startSoakOperator({ addresses, ledger, random }: SoakOperatorOptions): SoakOperator {
    const acknowledged: { version: number; time: number; }[] = [];
    let version = 0;
    let weightsVersion = 1;
    let hasLeaver = true;
    let isStopped = false;
    void readAll();
    return {
        change,
        revoke,
        nameWeights: () => send("POST", "/basilwing/version-put", { model: soakModel, version: ++weightsVersion }),
        readBack,
        stop: () => isStopped = true,
    };

    async function change(): Promise<void> {
        version += 1 + random.getInteger(3);
        const sentVersion = version;
        await send("PUT", "/basilwing/config", createDocument(sentVersion, hasLeaver));
        acknowledged.push({ version: sentVersion, time: Date.now() });
    }

    async function revoke(): Promise<void> {
        hasLeaver = false;
        await change();
        ledger.noteRevoked("leaver", Date.now() + soakBounds.revoke_ms);
    }

    async function send(method: "PUT" | "POST", path: string, content: object): Promise<void> {
        let address = getAnyAddress();
        while (!isStopped) {
            const answer = await call(method, `http://${address}${path}`, content);
            if (answer?.status === 200) {
                return;
            }
            if (answer && [400, 409, 412, 413, 422].includes(answer.status)) {
                ledger.addBreach(`a proper change got ${answer.status}: ${answer.text}`);
                return;
            }
            const named = answer?.status === 307 && answer.location ? new URL(answer.location).host : undefined;
            address = named ?? getAnyAddress();
            await sleep(named ? 0 : 100);
        }
    }

    async function readAll(): Promise<void> {
        while (!isStopped) {
            const address = getAnyAddress();
            const sentTime = Date.now();
            const newest = getNewest(sentTime - soakBounds.config_apply_ms);
            const read = await readVersion(address);
            if (read !== undefined && read < newest) {
                ledger.addBreach(`${address} shows version ${read} after ${newest} was acknowledged`);
            }
            await sleep(readPauseMilliseconds);
        }
    }

    async function readBack(milliseconds: number): Promise<boolean> {
        const end = Date.now() + milliseconds;
        while (Date.now() < end) {
            for (const address of addresses) {
                if ((await readVersion(address) ?? -1) >= getNewest(Infinity)) {
                    return true;
                }
            }
            await sleep(readPauseMilliseconds);
        }
        return false;
    }

    /** Gets the highest version that was acknowledged by a time. */
    function getNewest(byTime: number): number {
        return Math.max(0, ...acknowledged.filter(({ time }) => time <= byTime).map(change => change.version));
    }

    async function readVersion(address: string): Promise<number | undefined> {
        const answer = await call("GET", `http://${address}/basilwing/config`);
        return answer?.status === 200 ? (JSON.parse(answer.text) as { version: number; }).version : undefined;
    }

    function getAnyAddress(): string {
        return addresses[random.getInteger(addresses.length)]!;
    }
}

async function call(method: "GET" | "PUT" | "POST", url: string, content?: object) {
    try {
        const { statusCode, headers, body } = await request(url, {
            method,
            body: content && JSON.stringify(content),
            signal: AbortSignal.timeout(callMilliseconds),
        });
        return { status: statusCode, location: headers.location?.toString(), text: await body.text() };
    }
    catch {
        // No answer in time, or none at all: sent again, as operators do.
        return undefined;
    }
}

function createDocument(version: number, hasLeaver: boolean): object {
    const leaver = { name: "leaver", api_keys: ["key-leaver"], priority: 1, isolated: false };
    return {
        version,
        routes: soakRoutes.map(({ prefix, kind, service, maximumAttempts }) => ({
            name: prefix,
            host: "soak.example",
            path_prefix: prefix,
            kind,
            timeout_ms: 3_000,
            target_latency_ms: 600,
            priority: 0,
            service,
            max_attempts: maximumAttempts,
            public: false,
            resumable: prefix === "/label/",
        })),
        services: [
            {
                name: "engines",
                health_path: "/health",
                max_connections: 200,
                engine: { slots: 64, kv_capacity_tokens: 100_000, models: [{ name: soakModel }] },
            },
            { name: "actions", health_path: "/health", max_connections: 200 },
        ],
        limits: { max_header_bytes: 16_384, max_body_bytes: 65_536, header_timeout_ms: 3_000, idle_timeout_ms: 15_000 },
        tenants: [
            { name: "stayer", api_keys: ["key-stayer"], priority: 1, isolated: false },
            ...hasLeaver ? [leaver] : [],
        ],
    };
}
