import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { createEngineAdapter } from "../../src/backends";
import { createConfigurationSnapshot, createConfigurationView, LevelSettings } from "../../src/control/configuration";
import { Entry, startEntry } from "../../src/entry";
import { createLogger, Logger } from "../../src/logging";
import { Authority, Directory } from "../../src/membership";
import { createMetrics } from "../../src/metrics";
import {
    BackendKind,
    createPeerTransports,
    ProcessRecord,
    ProcessRecordSchema,
    ProcessRole,
    ProcessState,
    startInternalServer,
} from "../../src/protocol";
import { createPlacement } from "../../src/routing";
import { createRandomSource, createSystemClock, Stoppable } from "../../src/runtime";
import { createKeyDigest } from "../../src/security";
import { createFifoScheduler, createSidecar, PrefixIndex, Sidecar } from "../../src/sidecar";
import { EngineStandIn, startEngineStandIn } from "../../src/standIns";

describe("the log of an instance", () => {
    const key = "key-that-no-log-may-hold";
    const wrongKey = "other-key-that-no-log-may-hold";
    const prompt = "a prompt that no log may hold";
    const clock = createSystemClock();
    const random = createRandomSource(1);
    const authority: Authority = {
        isLeaseFresh: () => true,
        hasOwnAuthority: () => true,
        getRevision: () => 1n,
        addSeenRevision: () => {},
        checkAuthority: () => Promise.resolve(true),
    };
    let folder: string;
    let stoppables: Stoppable[];
    let logger: Logger;
    let engine: EngineStandIn;
    let sidecar: Sidecar;
    let sidecarAddress: string;
    let entry: Entry;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "basilwing-log-"));
        stoppables = [];
        logger = createLogger("test", { level: "trace", file: join(folder, "log") });
        engine = await startEngineStandIn({ model: "large" });
        await startSidecar();
        await startTestEntry();
    });

    afterEach(async () => {
        for (const part of stoppables.reverse()) {
            await part.stop();
        }
        await engine.stop();
        await rm(folder, { recursive: true });
    });

    async function startSidecar(): Promise<void> {
        const index = {
            getCachedBlocks: () => 0,
            getLikelyBlocks: () => 0,
            addEvent: () => {},
            addResponse: () => {},
            reset: () => {},
            getSize: () => 0,
        } as PrefixIndex;
        const adapter = createEngineAdapter({ address: engine.address });
        sidecar = createSidecar({
            instanceId: "engine-1",
            incarnation: "run-1",
            settings: {
                backendKind: "engine",
                serves: "large",
                backendAddress: engine.address,
                maximumRunning: 4,
                maximumQueued: 16,
                prefillTokensPerSecond: 20_000,
                drainDeadlineMilliseconds: 1_000,
            },
            backend: { kind: "engine", adapter, index },
            scheduler: createFifoScheduler({ clock, maximumRunning: 4, maximumQueued: 16 }),
            authority,
            clock,
            logger,
            metrics: createMetrics(),
        });
        const server = await startInternalServer(
            { address: "127.0.0.1", port: 0 },
            sidecar.addServices,
            { logger, metrics: createMetrics() },
        );
        sidecarAddress = server.address;
        stoppables.push(server, sidecar);
        while (!sidecar.getBackendState().isReady) {
            await clock.sleep(5);
        }
    }

    function getRecords(): readonly ProcessRecord[] {
        const { incarnation, version } = sidecar.getBackendState();
        return [create(ProcessRecordSchema, {
            instanceId: "engine-1",
            incarnation: "run-1",
            role: ProcessRole.COMPANION,
            state: ProcessState.READY,
            address: sidecarAddress,
            backendKind: BackendKind.ENGINE,
            backendIncarnation: incarnation,
            serves: "large",
            version,
        })];
    }

    async function startTestEntry(): Promise<void> {
        const configuration = createConfigurationView();
        const levels = new Map<string, LevelSettings>([
            ["/", { models: { large: { allowed: true } } }],
            ["/regie", {}],
            ["/regie/counter", {}],
            ["/regie/counter/anne", { keyDigests: [createKeyDigest(key)] }],
        ]);
        configuration.applySnapshot(createConfigurationSnapshot(levels, 1n));
        const directory: Directory = {
            getCandidates: getRecords,
            getRecord: () => getRecords()[0],
            getRecords,
            addSuspicion: () => {},
            addLeaving: () => {},
            getChangeNumber: () => 1,
        };
        const transports = createPeerTransports();
        entry = await startEntry({
            listener: { address: "127.0.0.1", port: 0 },
            settings: {
                maximumBodyBytes: 100_000,
                maximumHeaderBytes: 16_384,
                maximumConnections: 100,
                maximumRequestsInFlight: 100,
                requestTimeoutMilliseconds: 5_000,
                idleTimeoutMilliseconds: 5_000,
                defaultDeadlineMilliseconds: 5_000,
                retryBudgetShare: 1,
                drainDeadlineMilliseconds: 1_000,
            },
            routing: { pieceTokens: 4_096, bytesPerToken: 4 },
            configuration,
            directory,
            authority,
            placement: createPlacement({ clock, random }),
            transports,
            control: undefined,
            clock,
            random,
            logger,
            metrics: createMetrics(),
        });
        stoppables.push(transports, entry);
    }

    async function complete(withKey: string, body: string): Promise<number> {
        const response = await request(`http://${entry.address}/v1/completions`, {
            method: "POST",
            headers: { authorization: `Bearer ${withKey}`, "content-type": "application/json" },
            body,
        });
        await response.body.dump();
        return response.statusCode;
    }

    it("contains no key and no prompt, whatever the outcome of a request", async () => {
        const body = JSON.stringify({ model: "large", prompt, max_tokens: 4 });
        expect(await complete(key, body)).to.equal(200);
        expect(await complete(wrongKey, body)).to.equal(401);
        expect(await complete(key, body.slice(1))).to.equal(400);
        const crashed = engine.crash();
        await complete(key, body);
        await crashed;
        logger.info({ headers: { authorization: `Bearer ${key}` }, prompt }, "logged by mistake");
        let log = "";
        while (!log.includes("logged by mistake")) {
            await clock.sleep(5);
            log = await readFile(join(folder, "log"), "utf8").catch(() => "");
        }
        const secrets = [key, wrongKey, prompt, createKeyDigest(key)];
        expect(secrets.filter(secret => log.includes(secret))).to.deep.equal([]);
    });
});
