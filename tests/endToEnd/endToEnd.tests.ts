import { expect } from "chai";
import { build } from "esbuild";
import { createHash } from "node:crypto";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { getFreePorts } from "../../src/demo";
import {
    createRunLog,
    EngineStandIn,
    ServiceStandIn,
    startEngineStandIn,
    startServiceStandIn,
} from "../../src/standIns";
import { startProcess, TestProcess } from "./startProcess";

const key = "key-of-anna-0123456789";
const streamCount = 6;
const releaseCount = 12;

describe("the built program", function() {
    this.timeout(120_000);
    const runLog = createRunLog();
    const control: TestProcess[] = [];
    const sidecars: TestProcess[] = [];
    const entries: TestProcess[] = [];
    const standIns: (EngineStandIn | ServiceStandIn)[] = [];
    let folder: string;

    before(async () => {
        folder = await mkdtemp(join(tmpdir(), "basilwing-end-to-end-"));
        const program = join(folder, "basilwing.js");
        await build({
            entryPoints: ["src/main.ts"],
            outfile: program,
            bundle: true,
            platform: "node",
            target: "node20",
            format: "cjs",
            external: ["dtrace-provider"],
            logLevel: "error",
        });
        const initialConfigurationFile = join(folder, "configuration.json");
        await writeFile(initialConfigurationFile, JSON.stringify(createConfiguration()));
        const ports = await getFreePorts(9);
        const members = ports.slice(0, 3).map(port => `127.0.0.1:${port}`);
        control.push(
            ...await Promise.all([0, 1, 2].map(index =>
                startProcess(program, folder, {
                    instanceId: `control-${index}`,
                    roles: ["control"],
                    internalPort: ports[index]!,
                    members,
                    control: { bootstrap: true, initialConfigurationFile },
                    listeners: { operators: { address: "127.0.0.1", port: 0 } },
                    otherSettings: { dataFolder: join(folder, `control-${index}`) },
                })
            )),
        );
        for (const index of [0, 1]) {
            const engine = await startEngineStandIn({ name: `engine-${index}`, decodeStepMilliseconds: 15 });
            const service = await startServiceStandIn({ name: `service-${index}`, runLog, callMilliseconds: 100 });
            standIns.push(engine, service);
            const backends = [
                { backendKind: "service", serves: "lockers", backendAddress: service.address },
                { backendKind: "engine", serves: "large", backendAddress: engine.address },
            ];
            for (const [backendIndex, companion] of backends.entries()) {
                sidecars.push(
                    await startProcess(program, folder, {
                        instanceId: `companion-${index}-${backendIndex}`,
                        roles: ["companion"],
                        internalPort: ports[3 + index * 2 + backendIndex]!,
                        members,
                        otherSettings: { companion },
                    }),
                );
            }
            entries.push(
                await startProcess(program, folder, {
                    instanceId: `entry-${index}`,
                    roles: ["entry"],
                    internalPort: ports[7 + index]!,
                    members,
                    listeners: { callers: { address: "127.0.0.1", port: 0 } },
                }),
            );
        }
        await waitUntil(async () => (await Promise.all([...sidecars, ...entries].map(isReady))).every(Boolean));
        await waitUntil(async () => (await release(0, "warm-up-0000")).status === 200);
        await waitUntil(async () => (await stream(1, "warm up")).endsWith("[DONE]\n\n"));
    });

    after(async () => {
        await Promise.all([...entries, ...sidecars, ...control].map(running => running.kill("SIGKILL")));
        await Promise.all(standIns.map(standIn => standIn.stop()));
        await rm(folder, { recursive: true, force: true });
    });

    function createConfiguration(): object {
        const keyDigests = [createHash("sha256").update(key).digest("hex")];
        const lockers = [{ method: "POST", path: "/release", idempotent: false }];
        return {
            settings: { models: { large: { allowed: true } }, services: { lockers } },
            workspaces: { regie: { teams: { counter: { subscribers: { anna: { settings: { keyDigests } } } } } } },
        };
    }

    async function isReady(running: TestProcess): Promise<boolean> {
        const response = await fetch(`http://${running.addresses["administration"]}/readyz`);
        return response.status === 200;
    }

    async function waitUntil(condition: () => Promise<boolean>): Promise<void> {
        while (!await condition().catch(() => false)) {
            await new Promise(resolve => setTimeout(resolve, 50));
        }
    }

    function post(
        entryIndex: number,
        path: string,
        body: object,
        headers: Record<string, string> = {},
    ): Promise<Response> {
        return fetch(`http://${entries[entryIndex]!.addresses["callers"]}${path}`, {
            method: "POST",
            headers: { authorization: `Bearer ${key}`, ...headers },
            body: JSON.stringify(body),
        });
    }

    function release(entryIndex: number, idempotencyKey: string): Promise<Response> {
        return post(entryIndex, "/services/lockers/release", { key: idempotencyKey }, {
            "idempotency-key": idempotencyKey,
        });
    }

    async function stream(entryIndex: number, prompt: string): Promise<string> {
        const response = await post(entryIndex, "/v1/completions", {
            model: "large",
            prompt,
            stream: true,
            max_tokens: 64,
        });
        return response.text();
    }

    /** Repeats a release at the entry process that keeps running until its outcome is certain. */
    async function releaseUntilCertain(idempotencyKey: string): Promise<string> {
        let outcome = "";
        await waitUntil(async () => {
            const response = await release(1, idempotencyKey);
            const body = await response.json() as { error?: { code: string; }; };
            outcome = body.error?.code ?? "answered";
            return ["answered", "outcome_unknown", "answer_not_kept"].includes(outcome);
        });
        return outcome;
    }

    /** Gets the control member that is the leader. */
    async function getLeader(): Promise<TestProcess> {
        let leader: TestProcess | undefined;
        await waitUntil(async () => {
            for (const member of control) {
                const response = await fetch(`http://${member.addresses["administration"]}/status`).catch(() =>
                    undefined
                );
                const status = await response?.json() as { control?: { role?: string; }; } | undefined;
                leader = status?.control?.role === "leader" ? member : leader;
            }
            return leader !== undefined;
        });
        return leader!;
    }

    it("runs releases at most once and completes streams when the leader, an entry process and a sidecar are killed", async () => {
        const names = Array.from({ length: releaseCount }, (...[, index]) => `release-${index}-0000`);
        const releases = names.map((name, index) => release(index % 2, name).catch(() => undefined));
        const streams = Array.from({ length: streamCount }, (...[, index]) => stream(1, `file ${index} of a locker`));
        await waitUntil(() => Promise.resolve(runLog.getEntries().length > 1));
        await (await getLeader()).kill("SIGKILL");
        await entries[0]!.kill("SIGKILL");
        await sidecars[0]!.kill("SIGKILL");
        await Promise.all(releases);
        const outcomes = await Promise.all(names.map(releaseUntilCertain));
        for (const [index, name] of names.entries()) {
            const runs = runLog.getEntries().filter(entry => entry.key === name).length;
            expect(runs, name).to.be.at.most(1);
            expect(runs, name).to.be.at.least(outcomes[index] === "answered" ? 1 : 0);
        }
        expect(outcomes.filter(outcome => outcome === "answered").length).to.be.at.least(1);
        for (const text of await Promise.all(streams)) {
            expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
        }
    });

    it("completes a running stream before it stops on SIGTERM", async () => {
        const text = stream(1, "the last file");
        await waitUntil(async () => {
            const response = await fetch(`http://${entries[1]!.addresses["administration"]}/metrics`);
            return (await response.text()).includes("basilwing_requests_in_flight 1");
        });
        await entries[1]!.kill("SIGTERM");
        expect((await text).endsWith("data: [DONE]\n\n")).to.equal(true);
        expect(entries[1]!.child.exitCode).to.equal(0);
    });
});
