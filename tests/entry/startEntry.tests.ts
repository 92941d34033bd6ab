import { expect } from "chai";
import fc from "fast-check";
import { once } from "node:events";
import { connect } from "node:net";
import { setTimeout } from "node:timers/promises";
import { Entry, startEntry } from "../../src/entry";
import { createSystemClock } from "../../src/runtime";
import { EntrySettings } from "../../src/settings";
import { runCallersThatLeave } from "../support/runCallersThatLeave";
import { createTestCluster } from "./createTestCluster";

const settings: EntrySettings = {
    maximumBodyBytes: 4_096,
    maximumHeaderBytes: 2_048,
    maximumConnections: 256,
    maximumRequestsInFlight: 20,
    requestTimeoutMilliseconds: 600,
    idleTimeoutMilliseconds: 5_000,
    defaultDeadlineMilliseconds: 5_000,
    retryBudgetShare: 1,
    leaveMilliseconds: 0,
    drainDeadlineMilliseconds: 5_000,
};

describe("startEntry", () => {
    let cluster: ReturnType<typeof createTestCluster>;
    let entry: Entry;

    async function start(kind: "engine" | "service"): Promise<void> {
        cluster = createTestCluster(1, 1, 2, kind, createSystemClock());
        entry = await startEntry({ ...cluster.entries[0]!.options, settings });
        while ((await post("/v1/completions", { model: "locker", prompt: "ready?" })).status === 503) {
            // Retries until the sidecars have detected their backend servers.
        }
    }

    afterEach(async () => {
        await entry.stop();
        await cluster.stop();
    });

    function getUrl(path: string): string {
        return `http://${entry.address}${path}`;
    }

    function post(path: string, body: object, headers: Record<string, string> = {}): Promise<Response> {
        const allHeaders = { authorization: "Bearer good", "content-type": "application/json", ...headers };
        return fetch(getUrl(path), { method: "POST", headers: allHeaders, body: JSON.stringify(body) });
    }

    /** Sends raw bytes, and reads until the response head is complete or the connection ends. */
    async function sendRaw(bytes: string | Uint8Array, isEnding = false): Promise<string> {
        const [host, port] = entry.address.split(":");
        const socket = connect(Number(port), host);
        let received = "";
        socket.on("error", () => {});
        await once(socket, "connect");
        socket.write(bytes);
        if (isEnding) {
            socket.end();
        }
        for await (const part of socket) {
            received += String(part);
            if (received.includes("\r\n\r\n")) {
                break;
            }
        }
        socket.destroy();
        return received;
    }

    function createHead(headers: readonly string[], path = "/v1/completions"): string {
        return [`POST ${path} HTTP/1.1`, "host: entry", "authorization: Bearer good", ...headers, "", ""].join("\r\n");
    }

    describe("refusal of invalid input", () => {
        beforeEach(() => start("engine"));

        async function doTest(
            input: string | Uint8Array,
            expectedStatus: number,
            expectedCounter: string,
            isEnding = false,
        ): Promise<void> {
            const received = await sendRaw(input, isEnding);
            expect(received).to.match(new RegExp(`^HTTP/1.1 ${expectedStatus} `));
            expect(received.toLowerCase()).to.include("basilwing-run: no");
            const { metrics } = cluster.entries[0]!;
            expect(metrics.getRefusals()[expectedCounter]).to.be.at.least(1);
            const good = await post("/v1/completions", { model: "locker", prompt: "alpha" });
            expect(good.status, "a valid request is still served").to.equal(200);
        }

        function createBody(body: string | Uint8Array): Uint8Array {
            const bytes = Buffer.from(body);
            return Buffer.concat([Buffer.from(createHead([`content-length: ${bytes.length}`])), bytes]);
        }

        it("body that never arrives", () => doTest(createHead(["content-length: 10"]), 408, "request_timeout"));
        it("headers that never end", () =>
            doTest("POST /v1/completions HTTP/1.1\r\nhost: entry\r\n", 408, "request_timeout"));
        it("headers over the size limit", () =>
            doTest(createHead([`x-filler: ${"a".repeat(4_096)}`]), 431, "headers_too_large"));
        it("bytes that are not HTTP", () => doTest("\0\u0001\u0002 what\r\n\r\n", 400, "malformed_http"));
        it("two content-length headers", () =>
            doTest(createHead(["content-length: 1", "content-length: 2"]), 400, "malformed_http"));
        it("content-length header beside chunked encoding", () =>
            doTest(createHead(["content-length: 1", "transfer-encoding: chunked"]), 400, "malformed_http"));
        it("body shorter than its declared length", () =>
            doTest(createHead(["content-length: 10"]) + "{}", 400, "length_mismatch", true));
        it("body over the size limit", () => doTest(createHead(["content-length: 5000"]), 413, "body_too_large"));
        it("chunked body over the size limit", () =>
            doTest(
                createHead(["transfer-encoding: chunked"]) + `1400\r\n${"a".repeat(0x1400)}\r\n`,
                413,
                "body_too_large",
            ));
        it("invalid UTF-8", () => doTest(createBody(Buffer.from([0x7b, 0xff, 0x7d])), 400, "invalid_utf8"));
        it("invalid JSON", () => doTest(createBody("{\"model\":"), 400, "invalid_json"));
        it("JSON value that is not an object", () => doTest(createBody("[]"), 400, "invalid_json"));
        it("JSON nested too deeply", () => doTest(createBody("[".repeat(2_000)), 400, "nested_too_deeply"));
        it("unknown API key", () =>
            doTest("GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer bad\r\n\r\n", 401, "invalid_key"));
        it("service named after a built-in property", () =>
            doTest(createHead(["content-length: 2"], "/services/constructor/x") + "{}", 403, "not_allowed"));
    });

    it("answers arbitrary bytes without a status 500, and serves valid requests afterwards", async () => {
        await start("engine");
        const part = fc.oneof(
            fc.constantFrom(
                "POST /v1/chat/completions HTTP/1.1\r\n",
                "GET /services/locker/status?key=a HTTP/1.1\r\n",
                "authorization: Bearer good\r\n",
                "content-length: 5\r\n",
                "content-length: -1\r\n",
                "transfer-encoding: chunked\r\n",
                "idempotency-key: 12345678\r\n",
                "\r\n",
                "5\r\n{\"a\":\r\n",
                "0\r\n\r\n",
                "{\"model\":\"locker\",\"messages\":[{\"role\":1}]}",
            ),
            fc.string({ maxLength: 40, unit: "binary" }),
        );
        await fc.assert(
            fc.asyncProperty(fc.array(part, { maxLength: 12 }), async parts => {
                const received = await sendRaw(parts.join(""), true);
                expect(received === "" || /^HTTP\/1\.1 \d{3} /.test(received), received.slice(0, 40)).to.equal(true);
                expect(received).to.not.match(/^HTTP\/1.1 500/);
            }),
            { seed: 1, numRuns: 150 },
        );
        const good = await post("/v1/completions", { model: "locker", prompt: "alpha" });
        expect(good.status).to.equal(200);
    });

    it("answers arbitrary JSON with an expected status", async () => {
        await start("engine");
        const value = fc.oneof(fc.jsonValue(), fc.constantFrom("locker", "alpha", 1, true, {}, []));
        const body = fc.dictionary(
            fc.constantFrom(
                "model",
                "prompt",
                "messages",
                "max_tokens",
                "seed",
                "stream",
                "stream_options",
                "__proto__",
            ),
            value,
        );
        await fc.assert(
            fc.asyncProperty(body, fc.boolean(), async (json, isChat) => {
                const response = await post(isChat ? "/v1/chat/completions" : "/v1/completions", json);
                await response.text();
                expect([200, 400, 403, 413, 429, 503]).to.include(response.status);
            }),
            { seed: 1, numRuns: 150 },
        );
    });

    it("closes a connection that sends only invalid requests", async () => {
        await start("engine");
        const request = createHead(["content-length: 2"]) + "[]";
        const [host, port] = entry.address.split(":");
        const socket = connect(Number(port), host);
        let receivedAll = "";
        socket.write(request.repeat(30));
        for await (const part of socket) {
            receivedAll += String(part);
        }
        expect(receivedAll.match(/HTTP\/1.1 400/g)!.length).to.be.at.most(20);
        expect(receivedAll.toLowerCase()).to.include("connection: close");
    });

    it("streams a completion up to the closing event, with the token usage", async () => {
        await start("engine");
        const body = { model: "locker", prompt: "alpha", stream: true, stream_options: { include_usage: true } };
        const text = await (await post("/v1/completions", body)).text();
        expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
        expect(text).to.include("\"completion_tokens\":8");
    });

    describe("non-idempotent call", () => {
        beforeEach(() => start("service"));

        function release(key: string, idempotencyKey: string): Promise<Response> {
            return post("/services/locker/release", { key }, { "idempotency-key": idempotencyKey });
        }

        it("gives a resend the same response, marked as replayed", async () => {
            const first = await release("a", "12345678");
            const second = await release("a", "12345678");
            expect([await first.text(), await second.text()]).to.deep.equal(["released a", "released a"]);
            expect(second.headers.get("basilwing-replayed")).to.equal("yes");
            expect(cluster.runs.length).to.equal(1);
        });
        it("runs once for concurrent resends, which all get its response", async () => {
            const responses = await Promise.all([1, 2, 3, 4].map(() => release("a", "12345678")));
            const texts = await Promise.all(responses.map(response => response.text()));
            expect(new Set(texts)).to.deep.equal(new Set(["released a"]));
            expect(cluster.runs.length).to.equal(1);
        });
        it("is refused where the key was used with another body", async () => {
            await (await release("a", "12345678")).text();
            expect((await release("b", "12345678")).status).to.equal(422);
        });
        it("reports an unknown outcome, and never runs again, after the backend server broke off", async () => {
            cluster.sidecars.forEach(({ service }) => service.setMode("resetAfterRun"));
            const first = await release("a", "12345678");
            cluster.sidecars.forEach(({ service }) => service.setMode("ok"));
            const second = await release("a", "12345678");
            const outcomes = [first, second].map(({ headers, status }) => [status, headers.get("basilwing-run")]);
            expect(outcomes).to.deep.equal([[502, "unknown"], [502, "unknown"]]);
            expect(cluster.runs.length).to.equal(1);
        });
        it("reports an unknown run state while the control members are down", async () => {
            cluster.control.setMode("down");
            const refused = await post(
                "/services/locker/release",
                { key: "a" },
                { "idempotency-key": "12345678", "basilwing-timeout-milliseconds": "100" },
            );
            expect(refused.headers.get("basilwing-run")).to.equal("unknown");
            cluster.control.setMode("ok");
        });
        it("runs without an idempotency key", async () => {
            const response = await post("/services/locker/release", { key: "a" });
            expect([await response.text(), response.headers.get("basilwing-run")]).to.deep.equal(["released a", "yes"]);
        });
    });

    describe("stop", () => {
        it("finishes the requests in flight, and refuses later ones", async () => {
            await start("engine");
            const body = { model: "locker", prompt: "epsilon zeta eta", stream: true };
            const responses = await Promise.all([1, 2, 3].map(() => post("/v1/completions", body)));
            const stopped = entry.stop();
            expect(entry.isReady()).to.equal(false);
            const texts = await Promise.all(responses.map(response => response.text()));
            expect(texts.every(text => text.endsWith("data: [DONE]\n\n"))).to.equal(true);
            await stopped;
            const refused = await post("/v1/completions", body).then(() => "answered", () => "refused");
            expect(refused).to.equal("refused");
        });
    });

    describe("overload", () => {
        async function doTest(priority: string, expectedStatus: number): Promise<void> {
            await start("engine");
            const [host, port] = entry.address.split(":");
            const openSockets = Array.from({ length: 15 }, () => connect(Number(port), host).on("error", () => {}));
            openSockets.forEach(socket => socket.write(createHead(["content-length: 10"])));
            while (entry.getRequestsInFlight() < openSockets.length) {
                await new Promise(resolve => setImmediate(resolve));
            }
            const body = { model: "locker", prompt: "alpha" };
            const response = await post("/v1/completions", body, { "basilwing-priority": priority });
            expect(response.status).to.equal(expectedStatus);
            expect(response.headers.get("basilwing-run")).to.equal(expectedStatus === 200 ? "yes" : "no");
            openSockets.forEach(socket => socket.destroy());
        }

        it("refuses deferred requests, and reports that they did not run", () => doTest("deferred", 503));
        it("accepts standard requests", () => doTest("standard", 200));
    });

    it("handles no request of a caller that left while the process was busy", async () => {
        await start("engine");
        const { metrics } = cluster.entries[0]!.options;
        const getHandledCount = () => Object.values(metrics.getRefusals()).reduce((sum, count) => sum + count, 0);
        const countBefore = getHandledCount();
        const endCallers = await runCallersThatLeave({
            port: Number(entry.address.split(":")[1]),
            leavingCount: 30,
            stayingCount: 1,
            isKept: false,
            head: "GET /v1/models HTTP/1.1\r\nhost: one.example\r\nauthorization: Bearer ID\r\n\r\n",
        });
        while (getHandledCount() === countBefore) {
            await setTimeout(10);
        }
        expect(getHandledCount() - countBefore).to.equal(1);
        await endCallers();
    });
});
