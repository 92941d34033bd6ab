import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ControlMember, createControlClient, createControlMember, createEventsPart } from "../../../src/control";
import { createConfigurationView } from "../../../src/control/configuration";
import { createControlPeers } from "../../../src/control/distribution";
import { createRolloutPart, RolloutPart, startRolloutPlanning } from "../../../src/control/placement";
import { createSilentLogger } from "../../../src/logging";
import { createIncarnation, createMembership } from "../../../src/membership";
import { createMetrics, Metrics } from "../../../src/metrics";
import {
    BackendKind,
    CommandSchema,
    CompanionService,
    createPeerTransports,
    ProcessRole,
    ProcessState,
    QueryKind,
    RolloutState,
    startInternalServer,
} from "../../../src/protocol";
import { createRandomSource, createSystemClock, Stoppable } from "../../../src/runtime";
import { createOrderExecutor } from "../../../src/sidecar/orders";
import { createTestAuthority } from "../../security/createTestAuthority";
import { createTestIdentity, TestIdentity } from "../../security/createTestIdentity";
import { getFreeAddress } from "../support/getFreeAddress";
import { createTestEngine, TestEngine } from "./createTestEngine";

describe("rollouts over the network", () => {
    const authority = createTestAuthority("trusted");
    const clock = createSystemClock();
    const logger = createSilentLogger();
    let folder: string;
    let running: Stoppable[];
    let member: ControlMember;
    let rollouts: RolloutPart;
    let metrics: Metrics;
    let address: string;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "basilwing-rollouts-"));
        running = [];
        metrics = createMetrics();
        rollouts = createRolloutPart();
        address = await getFreeAddress();
        member = await startControlMember();
    });

    afterEach(async () => {
        for (const part of running.reverse()) {
            await part.stop();
        }
        await rm(folder, { recursive: true });
    });

    function createIdentity(role: string, instanceId: string): TestIdentity {
        return createTestIdentity(authority.issue({ names: [`basilwing://${role}/${instanceId}`] }));
    }

    async function startControlMember(): Promise<ControlMember> {
        const identity = createIdentity("control", "member-1");
        const transports = createPeerTransports({ identity });
        const outcome = await createControlMember({
            control: { group: "test", members: [address], bootstrap: true },
            address,
            dataFolder: folder,
            parts: [rollouts, createEventsPart([rollouts])],
            transports,
            timing: { minimumElectionTimeoutMilliseconds: 100, maximumElectionTimeoutMilliseconds: 200 },
            clock,
            random: createRandomSource(1),
            logger,
            metrics,
        });
        if (outcome.kind === "failed") {
            throw new Error(outcome.reason);
        }
        const started = outcome.member;
        const [host, port] = address.split(":");
        const listener = { address: host!, port: Number(port) };
        const server = await startInternalServer(listener, started.addServices, { identity, metrics });
        const { configuration, distribution, client } = started;
        const planning = startRolloutPlanning({
            rollouts,
            configuration,
            distribution,
            client,
            clock,
            logger,
            timing: {
                planningIntervalMilliseconds: 20,
                registrationDelayMilliseconds: 500,
                observationMilliseconds: 100,
            },
        });
        running.push(transports, server, started, planning);
        return started;
    }

    /** Starts a sidecar with its engine, its session and its order gate. */
    async function startSidecar(instanceId: string, identityId = instanceId): Promise<TestEngine> {
        const random = createRandomSource(instanceId.length);
        const transports = createPeerTransports({ identity: createIdentity("companion", identityId) });
        const server = await startInternalServer(
            { address: "127.0.0.1", port: 0 },
            router => router.service(CompanionService, {}),
        );
        const incarnation = createIncarnation(clock, random);
        const membership = createMembership({
            identity: {
                instanceId,
                incarnation,
                role: ProcessRole.COMPANION,
                address: server.address,
                dataCentre: "a",
                region: "test",
                backendKind: BackendKind.ENGINE,
                serves: "large",
            },
            members: [address],
            transports,
            configuration: createConfigurationView(),
            clock,
            random,
            logger,
            metrics: createMetrics(),
        });
        const engine = createTestEngine({
            clock,
            random,
            version: "v0",
            enforcesFencing: false,
            lagMilliseconds: 5,
            getLoadMilliseconds: () => 30,
            getFaults: () => ({ refusal: 0, loss: 0 }),
            onLoad: () => undefined,
        });
        const gate = createOrderExecutor({
            sidecarId: instanceId,
            incarnation,
            control: createControlClient({ members: [address], peers: createControlPeers(transports), clock, random }),
            engine,
            clock,
            logger,
            metrics: createMetrics(),
        });
        membership.session.addListener({ handleOrder: gate.addOrder });
        const stopping = new AbortController();
        const reports = reportState();
        running.push(transports, server, membership, { stop: stopReports }, gate);
        return engine;

        async function reportState(): Promise<void> {
            while (!stopping.signal.aborted) {
                const load = await engine.getLoad();
                const state = load?.version === "" ? ProcessState.STARTING : ProcessState.READY;
                const { incarnation: backendIncarnation, version, role: engineRole } = load!;
                membership.session.updateOwnRecord({ state, backendIncarnation, version, engineRole });
                await clock.sleep(20, stopping.signal);
            }
        }

        async function stopReports(): Promise<void> {
            stopping.abort();
            await reports;
        }
    }

    async function waitFor(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await clock.sleep(5);
        }
    }

    async function setTarget(version: string): Promise<void> {
        const value = {
            changeId: version,
            expectedRevision: member.configuration.getRevision(),
            author: "anne",
            operations: [{ level: "/", setting: "rollouts", value: JSON.stringify({ large: { version } }) }],
        };
        const command = create(CommandSchema, { command: { case: "configuration", value } });
        await waitFor(() => member.distribution.leadership.isAssured());
        expect((await member.client.execute(command)).kind).to.equal("committed");
    }

    it("bring all engines to the target over mutual TLS", async () => {
        const engines = await Promise.all(["large-0", "large-1", "large-2"].map(name => startSidecar(name)));
        await setTarget("v1");
        await waitFor(() => rollouts.getRollout("large")?.state === RolloutState.DONE);
        expect(engines.map(engine => engine.getVersion())).to.deep.equal(["v1", "v1", "v1"]);
        await setTarget("v2");
        await waitFor(() =>
            rollouts.getRollout("large")!.version === "v2" && rollouts.getRollout("large")!.state === RolloutState.DONE
        );
        expect(engines.map(engine => engine.begunOrders.length)).to.deep.equal([2, 2, 2]);
        const events = await member.client.query(QueryKind.EVENTS, "", true);
        expect(JSON.stringify(events.kind === "answered" ? events.value : [])).to.contain("rolloutDone");
        expect(metrics.getRefusals()["unauthorized_peer"] ?? 0).to.equal(0);
    });

    it("give no orders to a process that registers under the instance id of another", async () => {
        const engine = await startSidecar("large-1", "large-0");
        await setTarget("v1");
        await waitFor(() => (metrics.getRefusals()["unauthorized_peer"] ?? 0) > 0);
        expect(member.distribution.directory.getRecords()).to.deep.equal([]);
        expect(engine.begunOrders).to.deep.equal([]);
    });
});
