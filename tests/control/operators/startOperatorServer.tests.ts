import { expect } from "chai";
import { Agent, request } from "undici";
import { OperatorServer } from "../../../src/control/operators";
import { Clock, createSystemClock } from "../../../src/runtime";
import { createTestControl, TestControl } from "./createTestControl";

describe("startOperatorServer", () => {
    let control: TestControl;
    let server: OperatorServer;
    let agent: Agent;
    let nowMilliseconds: number;

    beforeEach(async () => {
        control = createTestControl();
        nowMilliseconds = 0;
        const clock: Clock = { ...createSystemClock(), getMonotonicMilliseconds: () => nowMilliseconds };
        server = await control.startServer(clock);
        agent = new Agent();
    });
    afterEach(async () => {
        await agent.destroy();
        await server.stop();
    });

    interface TestResponse {
        status: number;
        headers: Record<string, unknown>;
        body: Record<string, unknown> & { error?: { code: string; problems: readonly string[]; }; };
    }

    async function send(method: "GET" | "POST", path: string, token: string, body?: string): Promise<TestResponse> {
        const headers = token === "" ? {} : { authorization: `Bearer ${token}` };
        const response = await request(`${server.address}${path}`, { method, headers, body, dispatcher: agent });
        const text = await response.body.text();
        return {
            status: response.statusCode,
            headers: response.headers,
            body: JSON.parse(text) as TestResponse["body"],
        };
    }

    const change = {
        changeId: "c-1",
        expectedRevision: 0,
        operations: [{ level: "/regie", setting: "shareWeight", value: 2 }],
    };

    function sendChange(body: unknown): Promise<TestResponse> {
        return send("POST", "/v1/configuration/changes", "change-token", JSON.stringify(body));
    }

    describe("access", () => {
        async function doTest(
            method: "GET" | "POST",
            path: string,
            token: string,
            expected: number,
            body?: string,
        ): Promise<void> {
            const answer = await send(method, path, token, body);
            expect(answer.status).to.equal(expected);
            expect(control.commands).to.deep.equal([]);
        }

        it("needs a token", () => doTest("GET", "/v1/configuration", "", 401));
        it("refuses an unknown token", () => doTest("GET", "/v1/configuration", "other", 401));
        it("lets readers read", () => doTest("GET", "/v1/configuration", "read-token", 200));
        it("does not let readers change", () =>
            doTest("POST", "/v1/configuration/changes", "read-token", 403, JSON.stringify(change)));
        it("does not let readers release", () => doTest("POST", "/v1/quarantine/release", "read-token", 403, "{}"));
        it("knows no other path", () => doTest("GET", "/v2/x", "read-token", 404));
        it("knows no path at all", () => doTest("GET", "//[", "read-token", 404));
        it("knows no other method", () => doTest("POST", "/v1/configuration", "change-token", 405));
        it("takes JSON only", () => doTest("POST", "/v1/configuration/changes", "change-token", 400, "{"));
        it("takes bounded bodies only", () =>
            doTest("POST", "/v1/configuration/changes", "change-token", 413, " ".repeat(16_777_217)));

        it("makes an address that fails often wait, and lets it in again later", async () => {
            for (let count = 0; count < 10; count++) {
                expect((await send("GET", "/v1/status", "wrong")).status).to.equal(401);
            }
            const refused = await send("GET", "/v1/configuration", "read-token");
            expect([refused.status, refused.headers["retry-after"]]).to.deep.equal([429, "6"]);
            nowMilliseconds += 6_000;
            expect((await send("GET", "/v1/configuration", "read-token")).status).to.equal(200);
        });

        it("bounds the requests of an operator", async () => {
            const statuses = new Set<number>();
            for (let count = 0; count < 101; count++) {
                statuses.add((await send("GET", "/v1/configuration", "read-token")).status);
            }
            expect([...statuses]).to.deep.equal([200, 429]);
            expect((await send("GET", "/v1/configuration", "change-token")).status).to.equal(200);
        });
    });

    describe("changes", () => {
        it("are made under the operator's own name", async () => {
            expect((await sendChange({ ...change, author: "someone" })).status).to.equal(422);
            expect((await sendChange(change)).body).to.deep.equal({ outcome: "accepted", revision: 1, problems: [] });
            const history = await send("GET", "/v1/configuration/history", "read-token");
            expect((history.body.records as { author: string; }[])[0]?.author).to.equal("carl");
        });

        it("tell conflict, invalid, no leader and unknown apart", async () => {
            await sendChange(change);
            expect((await sendChange({ ...change, changeId: "c-2" })).status).to.equal(409);
            expect(
                (await sendChange({ ...change, changeId: "c-3", expectedRevision: 1, operations: [{ level: "x" }] }))
                    .status,
            ).to.equal(422);
            control.failures.push("noLeader", "lostAnswer");
            const noLeader = await sendChange({ ...change, changeId: "c-4", expectedRevision: 1 });
            expect([noLeader.status, noLeader.headers["retry-after"]]).to.deep.equal([503, "1"]);
            const last = { ...change, changeId: "c-5", expectedRevision: 1 };
            expect((await sendChange(last)).status).to.equal(504);
            expect((await sendChange(last)).body).to.deep.equal({ outcome: "accepted", revision: 2, problems: [] });
        });

        it("unset by an absent value, and refuse a value of null", async () => {
            await sendChange(change);
            const withNull = JSON.stringify({ ...change, changeId: "c-2", expectedRevision: 1 }).replace(
                ":2}",
                ":null}",
            );
            expect((await send("POST", "/v1/configuration/changes", "change-token", withNull)).status).to.equal(422);
            const operations = [{ level: "/regie", setting: "shareWeight" }];
            await sendChange({ changeId: "c-3", expectedRevision: 1, operations });
            const level = await send("GET", "/v1/configuration?level=/regie", "read-token");
            expect(level.body.own).to.deep.equal({});
        });
    });

    it("plans the application of a file and changes nothing", async () => {
        await sendChange(change);
        const tree = { workspaces: { corrib: { settings: { priority: "deferred" } } } };
        const plan = await send("POST", "/v1/configuration/plan", "read-token", JSON.stringify({ tree }));
        expect(plan.body).to.deep.equal({
            revision: 1,
            operations: [
                { level: "/regie", removeLevel: true },
                { level: "/corrib", value: { priority: "deferred" } },
            ],
            differences: [
                { level: "/corrib", setting: "priority", after: "deferred" },
                { level: "/regie", setting: "shareWeight", before: 2 },
            ],
        });
        expect(control.part.getRevision()).to.equal(1n);
    });

    it("waits until a change is in force", async () => {
        control.reports.push({ kind: "pending", waitingFor: ["entry-1"] }, { kind: "noLeader" });
        const path = "/v1/configuration/in-force?revision=0";
        const answers = [
            await send("GET", path, "read-token"),
            await send("GET", path, "read-token"),
            await send("GET", path, "read-token"),
        ];
        expect(answers.map(answer => answer.status)).to.deep.equal([202, 503, 200]);
        expect(answers[0]!.body).to.deep.equal({ revision: 0, isInForce: false, waitingFor: ["entry-1"] });
    });

    it("answers from the member alone where asked to", async () => {
        control.failures.push("noLeader");
        expect((await send("GET", "/v1/configuration", "read-token")).status).to.equal(503);
        control.failures.push("noLeader");
        expect((await send("GET", "/v1/configuration?stale=true", "read-token")).status).to.equal(200);
    });

    describe("commands", () => {
        async function doTest(path: string, body: object, expectedCase: string, expected: object): Promise<void> {
            await send("POST", path, "change-token", JSON.stringify(body));
            const { command } = control.commands[0]!;
            expect(command.case).to.equal(expectedCase);
            expect(command.value).to.deep.include(expected);
        }

        it("resolve claims", () =>
            doTest(
                "/v1/claims/resolve",
                { workspace: "regie", idempotencyKey: "key-12345", state: "abandoned" },
                "resolveClaim",
                { workspace: "regie", idempotencyKey: "key-12345", author: "carl", state: 4 },
            ));
        it("release quarantined requests", () =>
            doTest(
                "/v1/quarantine/release",
                { fingerprint: "00ff" },
                "releaseQuarantine",
                { author: "carl", fingerprint: Buffer.from([0, 255]) },
            ));
        it("pause rollouts", () =>
            doTest("/v1/rollouts/pause", { model: "large" }, "rolloutControl", {
                model: "large",
                state: 2,
                author: "carl",
            }));
        it("resume rollouts", () =>
            doTest("/v1/rollouts/resume", { model: "large" }, "rolloutControl", {
                model: "large",
                state: 1,
                author: "carl",
            }));
    });

    it("answers in time where the control members do not, and claims nothing of a change given up", async () => {
        const silent = createTestControl();
        silent.client.query = () => new Promise(() => undefined);
        silent.client.execute = async (...[, signal]) => {
            await new Promise(resolve => signal!.addEventListener("abort", resolve));
            return { kind: "notCommitted", reason: "given up" };
        };
        const sleep: Clock["sleep"] = async (milliseconds, signal) => {
            while (milliseconds > 8_000 && !signal?.aborted) {
                await new Promise(resolve => setImmediate(resolve));
            }
        };
        const other = await silent.startServer({ ...createSystemClock(), sleep });
        const headers = { authorization: "Bearer read-token" };
        const response = await request(`${other.address}/v1/configuration`, { headers, dispatcher: agent });
        expect(response.statusCode).to.equal(503);
        const changed = await request(`${other.address}/v1/configuration/changes`, {
            method: "POST",
            headers: { authorization: "Bearer change-token" },
            body: JSON.stringify(change),
            dispatcher: agent,
        });
        expect(changed.statusCode).to.equal(504);
        await other.stop();
    });

    it("ends waits when it stops", async () => {
        const waiting = createTestControl();
        const { startServer } = waiting;
        waiting.reports.push(new Promise(() => undefined) as never);
        const other = await startServer();
        const response = request(`${other.address}/v1/configuration/in-force?revision=1&waitMilliseconds=50000`, {
            headers: { authorization: "Bearer read-token" },
            dispatcher: agent,
        });
        while (waiting.reports.length > 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        await other.stop();
        expect((await response).statusCode).to.equal(503);
    });
});
