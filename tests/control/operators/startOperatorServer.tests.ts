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
            const response = await send(method, path, token, body);
            expect(response.status).to.equal(expected);
            expect(control.commands).to.deep.equal([]);
        }

        it("refuses a request without a token", () => doTest("GET", "/v1/configuration", "", 401));
        it("refuses an unknown token", () => doTest("GET", "/v1/configuration", "other", 401));
        it("allows readers to read", () => doTest("GET", "/v1/configuration", "read-token", 200));
        it("does not allow readers to make changes", () =>
            doTest("POST", "/v1/configuration/changes", "read-token", 403, JSON.stringify(change)));
        it("does not allow readers to release requests from quarantine", () =>
            doTest("POST", "/v1/quarantine/release", "read-token", 403, "{}"));
        it("refuses an unknown path", () => doTest("GET", "/v2/x", "read-token", 404));
        it("refuses a target that is not a path", () => doTest("GET", "//[", "read-token", 404));
        it("refuses another method", () => doTest("POST", "/v1/configuration", "change-token", 405));
        it("refuses a body that is not JSON", () =>
            doTest("POST", "/v1/configuration/changes", "change-token", 400, "{"));
        it("refuses a body beyond the maximum size", () =>
            doTest("POST", "/v1/configuration/changes", "change-token", 413, " ".repeat(16_777_217)));

        it("limits an address with many failed attempts, and accepts it again later", async () => {
            for (let count = 0; count < 10; count++) {
                expect((await send("GET", "/v1/status", "wrong")).status).to.equal(401);
            }
            const refused = await send("GET", "/v1/configuration", "read-token");
            expect([refused.status, refused.headers["retry-after"]]).to.deep.equal([429, "6"]);
            nowMilliseconds += 6_000;
            expect((await send("GET", "/v1/configuration", "read-token")).status).to.equal(200);
        });

        it("limits the rate of an operator's requests", async () => {
            const statuses = new Set<number>();
            for (let count = 0; count < 101; count++) {
                statuses.add((await send("GET", "/v1/configuration", "read-token")).status);
            }
            expect([...statuses]).to.deep.equal([200, 429]);
            expect((await send("GET", "/v1/configuration", "change-token")).status).to.equal(200);
        });
    });

    describe("changes", () => {
        it("are recorded under the name of the authenticated operator", async () => {
            expect((await sendChange({ ...change, author: "someone" })).status).to.equal(422);
            expect((await sendChange(change)).body).to.deep.equal({ outcome: "accepted", revision: 1, problems: [] });
            const history = await send("GET", "/v1/configuration/history", "read-token");
            expect((history.body.records as { author: string; }[])[0]?.author).to.equal("carl");
        });

        it("have distinct statuses for a conflict, an invalid change, no leader and an unknown outcome", async () => {
            await sendChange(change);
            expect((await sendChange({ ...change, changeId: "c-2" })).status).to.equal(409);
            expect(
                (await sendChange({ ...change, changeId: "c-3", expectedRevision: 1, operations: [{ level: "x" }] }))
                    .status,
            ).to.equal(422);
            control.failures.push("noLeader", "lostAnswer");
            const noLeader = await sendChange({ ...change, changeId: "c-4", expectedRevision: 1 });
            expect([noLeader.status, noLeader.headers["retry-after"]]).to.deep.equal([503, "1"]);
            const lostChange = { ...change, changeId: "c-5", expectedRevision: 1 };
            expect((await sendChange(lostChange)).status).to.equal(504);
            expect((await sendChange(lostChange)).body).to.deep.equal({
                outcome: "accepted",
                revision: 2,
                problems: [],
            });
        });

        it("unset a setting if the value is absent, and refuse a value of null", async () => {
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

    it("plans the application of a file without changing anything", async () => {
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
        const responses = [
            await send("GET", path, "read-token"),
            await send("GET", path, "read-token"),
            await send("GET", path, "read-token"),
        ];
        expect(responses.map(response => response.status)).to.deep.equal([202, 503, 200]);
        expect(responses[0]!.body).to.deep.equal({ revision: 0, isInForce: false, waitingFor: ["entry-1"] });
    });

    it("reads the state of the member alone if stale results are allowed", async () => {
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

    it("responds in time if the control members do not, and reports an aborted change as unknown", async () => {
        const unresponsive = createTestControl();
        unresponsive.client.query = () => new Promise(() => undefined);
        unresponsive.client.execute = async (...[, signal]) => {
            await new Promise(resolve => signal!.addEventListener("abort", resolve));
            return { kind: "notCommitted", reason: "command aborted" };
        };
        const sleep: Clock["sleep"] = async (milliseconds, signal) => {
            while (milliseconds > 8_000 && !signal?.aborted) {
                await new Promise(resolve => setImmediate(resolve));
            }
        };
        const other = await unresponsive.startServer({ ...createSystemClock(), sleep });
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

    it("aborts waiting requests when it stops", async () => {
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
