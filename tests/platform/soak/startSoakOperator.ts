/*
 * The operator of a soak: sends changes to any control member until one acknowledges them, reads the document all the
 * while, and checks the versions that it reads against the acknowledged ones.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { RandomSource } from "../../../src/runtime";
import { SoakLimitChanges } from "./createSoakLimitChanges";
import { RunTracker } from "./RunTracker";
import { soakBounds } from "./soakBounds";
import { soakIsolatedWorkspace } from "./soakIsolatedWorkspace";
import { SoakLimits } from "./SoakLimits";
import { soakModel } from "./soakModel";
import { SoakOperator } from "./SoakOperator";
import { soakRoutes } from "./soakRoutes";

const requestTimeoutMilliseconds = 1_000;
const readIntervalMilliseconds = 150;

/** The options of `startSoakOperator`. */
interface SoakOperatorOptions {
    /** Where operators reach control members, as `ip:port`. */
    addresses: readonly string[];
    /** Records revocations and broken guarantees. */
    runTracker: RunTracker;
    /** Chooses versions and the control member of each call. */
    random: RandomSource;
    /** Chooses the limits of each document. */
    limits: SoakLimitChanges;
    /** The number of further workspaces in each document, which makes it larger; none by default. */
    furtherWorkspaceCount?: number;
    /** The version after which its own begin; 0 by default. */
    lastVersion?: number;
}

/** Starts the operator, which reads the document continuously until it is stopped. */
export function startSoakOperator(options: SoakOperatorOptions): SoakOperator {
    const { addresses, runTracker, random, limits, furtherWorkspaceCount = 0, lastVersion = 0 } = options;
    const acknowledged: { version: number; time: number; }[] = [];
    let version = lastVersion;
    let weightsVersion = 1;
    let hasRevocableTenant = true;
    let isStopped = false;
    let leaderIp: string | undefined;
    void readContinuously();
    return {
        changeDocument,
        revokeKey,
        requestWeights: () =>
            sendUntilAccepted("POST", "/basilwing/version-put", { model: soakModel, version: ++weightsVersion }),
        waitForNewestDocument,
        findUnreadableMember,
        getLeaderIp: () => leaderIp,
        stop: () => isStopped = true,
    };

    async function changeDocument(): Promise<void> {
        version += 1 + random.getInteger(3);
        const sentVersion = version;
        const sentLimits = limits.choose();
        const document = createDocument(sentVersion, hasRevocableTenant, sentLimits, furtherWorkspaceCount);
        await sendUntilAccepted("PUT", "/basilwing/config", document);
        acknowledged.push({ version: sentVersion, time: Date.now() });
        if (sentVersion === getNewestAcknowledged(Infinity)) {
            limits.recordAcknowledgement(sentLimits);
        }
    }

    async function revokeKey(): Promise<void> {
        hasRevocableTenant = false;
        await changeDocument();
        runTracker.recordRevocation("leaver", Date.now() + soakBounds.revoke_ms);
    }

    async function sendUntilAccepted(method: "PUT" | "POST", path: string, content: object): Promise<void> {
        let address = pickAddress();
        while (!isStopped) {
            const response = await sendOperatorRequest(method, `http://${address}${path}`, content);
            if (response?.status === 200) {
                leaderIp = address.split(":")[0];
                return;
            }
            if (response && [400, 409, 412, 413, 422].includes(response.status)) {
                runTracker.addBreach(`a proper change got ${response.status}: ${response.text}`);
                return;
            }
            const redirectAddress = response?.status === 307 && response.location
                ? new URL(response.location).host
                : undefined;
            address = redirectAddress ?? pickAddress();
            await sleep(redirectAddress ? 0 : 100);
        }
    }

    async function readContinuously(): Promise<void> {
        while (!isStopped) {
            const address = pickAddress();
            const sentMilliseconds = Date.now();
            const expectedVersion = getNewestAcknowledged(sentMilliseconds - soakBounds.config_apply_ms);
            const shownVersion = await readVersion(address);
            if (shownVersion !== undefined && shownVersion < expectedVersion) {
                runTracker.addBreach(
                    `${address} shows version ${shownVersion} after ${expectedVersion} was acknowledged`,
                );
            }
            await sleep(readIntervalMilliseconds);
        }
    }

    async function waitForNewestDocument(timeoutMilliseconds: number): Promise<boolean> {
        const end = Date.now() + timeoutMilliseconds;
        while (Date.now() < end) {
            for (const address of addresses) {
                if ((await readVersion(address) ?? -1) >= getNewestAcknowledged(Infinity)) {
                    return true;
                }
            }
            await sleep(readIntervalMilliseconds);
        }
        return false;
    }

    async function findUnreadableMember(): Promise<string | undefined> {
        const expectedVersion = getNewestAcknowledged(Infinity);
        const results = await Promise.all(addresses.map(async address => {
            const response = await sendOperatorRequest("GET", `http://${address}/basilwing/config`);
            if (response?.status !== 200) {
                return `${address} answers a read with ${response ? `${response.status} ${response.text}` : "nothing"}`;
            }
            const { version: shownVersion } = JSON.parse(response.text) as { version: number; };
            return shownVersion < expectedVersion
                ? `${address} shows version ${shownVersion} after ${expectedVersion} was acknowledged`
                : undefined;
        }));
        return results.find(result => result !== undefined);
    }

    /** Gets the highest version that was acknowledged by a time, in milliseconds since the epoch; 0 where there is none. */
    function getNewestAcknowledged(byMilliseconds: number): number {
        return Math.max(
            0,
            ...acknowledged.filter(({ time }) => time <= byMilliseconds).map(acknowledgement =>
                acknowledgement.version
            ),
        );
    }

    async function readVersion(address: string): Promise<number | undefined> {
        const response = await sendOperatorRequest("GET", `http://${address}/basilwing/config`);
        return response?.status === 200 ? (JSON.parse(response.text) as { version: number; }).version : undefined;
    }

    function pickAddress(): string {
        return addresses[random.getInteger(addresses.length)]!;
    }
}

/** Sends one request; gets undefined where no response arrives in time. */
async function sendOperatorRequest(method: "GET" | "PUT" | "POST", url: string, content?: object) {
    try {
        const { statusCode, headers, body } = await request(url, {
            method,
            body: content && JSON.stringify(content),
            signal: AbortSignal.timeout(requestTimeoutMilliseconds),
        });
        return { status: statusCode, location: headers.location?.toString(), text: await body.text() };
    }
    catch {
        // No response, or none in time; the caller sends the request again, as operators do.
        return undefined;
    }
}

function createDocument(
    version: number,
    hasRevocableTenant: boolean,
    limits: SoakLimits,
    furtherWorkspaceCount: number,
): object {
    const revocableTenant = { name: "leaver", api_keys: ["key-leaver"], priority: 1, isolated: false };
    return {
        version,
        routes: soakRoutes.map(({ prefix, kind, service, maximumAttempts, isPublic }) => ({
            name: prefix,
            host: "soak.example",
            path_prefix: prefix,
            kind,
            timeout_ms: limits.routeTimeouts[prefix],
            target_latency_ms: 600,
            priority: 0,
            service,
            max_attempts: maximumAttempts,
            public: isPublic,
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
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: limits.maximumBodyBytes,
            header_timeout_ms: limits.headerTimeoutMilliseconds,
            idle_timeout_ms: limits.idleTimeoutMilliseconds,
        },
        tenants: [
            { name: "stayer", api_keys: ["key-stayer"], priority: 1, isolated: false },
            { name: soakIsolatedWorkspace, api_keys: ["key-loner"], priority: 1, isolated: true },
            ...hasRevocableTenant ? [revocableTenant] : [],
            ...Array.from({ length: furtherWorkspaceCount }, (...[, index]) => ({
                name: `further-${index}`,
                api_keys: [`key-further-${index}`],
                priority: 1,
                isolated: false,
            })),
        ],
    };
}
