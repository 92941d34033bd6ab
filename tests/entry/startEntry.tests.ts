import { expect } from "chai";
import fc from "fast-check";
import { once } from "node:events";
import { connect } from "node:net";
import { Entry, startEntry } from "../../src/entry";
import { createSystemClock } from "../../src/runtime";
import { EntrySettings } from "../../src/settings";
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
            // The sidecars have not heard of their backend servers yet.
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

    /** Sends bytes as they are, and reads what comes until the connection ends or the answer is whole. */
    async function sendRaw(bytes: string | Uint8Array, isEnding = false): Promise<string> {
        const [host, port] = entry.address.split(":");
        const socket = connect(Number(port), host);
        let answer = "";
        socket.on("error", () => {});
        await once(socket, "connect");
        socket.write(bytes);
        if (isEnding) {
            socket.end();
        }
        for await (const part of socket) {
            answer += String(part);
            if (answer.includes("\r\n\r\n")) {
                break;
            }
        }
        socket.destroy();
        return answer;
    }

    function createHead(headers: readonly string[], path = "/v1/completions"): string {
        return [`POST ${path} HTTP/1.1`, "host: entry", "authorization: Bearer good", ...headers, "", ""].join("\r\n");
    }

    describe("invalid input", () => {
        beforeEach(() => start("engine"));

        async function doTest(
            input: string | Uint8Array,
            expectedStatus: number,
            expectedCounter: string,
            isEnding = false,
        ): Promise<void> {
            const answer = await sendRaw(input, isEnding);
            expect(answer).to.match(new RegExp(`^HTTP/1.1 ${expectedStatus} `));
            expect(answer.toLowerCase()).to.include("basilwing-run: no");
            const { metrics } = cluster.entries[0]!;
            expect(metrics.getRefusals()[expectedCounter]).to.be.at.least(1);
            const good = await post("/v1/completions", { model: "locker", prompt: "alpha" });
            expect(good.status, "nothing else is disturbed").to.equal(200);
        }

        function createBody(body: string | Uint8Array): Uint8Array {
            const bytes = Buffer.from(body);
            return Buffer.concat([Buffer.from(createHead([`content-length: ${bytes.length}`])), bytes]);
        }

        it("of a body that never comes", () => doTest(createHead(["content-length: 10"]), 408, "request_timeout"));
        it("of headers that never end", () =>
            doTest("POST /v1/completions HTTP/1.1\r\nhost: entry\r\n", 408, "request_timeout"));
        it("of huge headers", () => doTest(createHead([`x-filler: ${"a".repeat(4_096)}`]), 431, "headers_too_large"));
        it("of no HTTP at all", () => doTest("\0\u0001\u0002 what\r\n\r\n", 400, "malformed_http"));
        it("of two lengths", () =>
            doTest(createHead(["content-length: 1", "content-length: 2"]), 400, "malformed_http"));
        it("of a length beside chunks", () =>
            doTest(createHead(["content-length: 1", "transfer-encoding: chunked"]), 400, "malformed_http"));
        it("of a body shorter than its length", () =>
            doTest(createHead(["content-length: 10"]) + "{}", 400, "length_mismatch", true));
        it("of a body beyond the limit", () => doTest(createHead(["content-length: 5000"]), 413, "body_too_large"));
        it("of a chunked body beyond the limit", () =>
            doTest(
                createHead(["transfer-encoding: chunked"]) + `1400\r\n${"a".repeat(0x1400)}\r\n`,
                413,
                "body_too_large",
            ));
        it("of invalid UTF-8", () => doTest(createBody(Buffer.from([0x7b, 0xff, 0x7d])), 400, "invalid_utf8"));
        it("of invalid JSON", () => doTest(createBody("{\"model\":"), 400, "invalid_json"));
        it("of another value than an object", () => doTest(createBody("[]"), 400, "invalid_json"));
        it("of deep nesting", () => doTest(createBody("[".repeat(2_000)), 400, "nested_too_deeply"));
        it("of an unknown key", () =>
            doTest("GET /v1/models HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer bad\r\n\r\n", 401, "invalid_key"));
        it("of a service named after a built-in property", () =>
            doTest(createHead(["content-length: 2"], "/services/constructor/x") + "{}", 403, "not_allowed"));
    });

    it("withstands any bytes", async () => {
        await start("engine");
        const piece = fc.oneof(
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
            fc.asyncProperty(fc.array(piece, { maxLength: 12 }), async pieces => {
                const answer = await sendRaw(pieces.join(""), true);
                expect(answer === "" || /^HTTP\/1\.1 \d{3} /.test(answer), answer.slice(0, 40)).to.equal(true);
                expect(answer).to.not.match(/^HTTP\/1.1 500/);
            }),
            { seed: 1, numRuns: 150 },
        );
        const good = await post("/v1/completions", { model: "locker", prompt: "alpha" });
        expect(good.status).to.equal(200);
    });

    it("withstands any JSON", async () => {
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

    it("closes a connection that sends nothing valid", async () => {
        await start("engine");
        const request = createHead(["content-length: 2"]) + "[]";
        const [host, port] = entry.address.split(":");
        const socket = connect(Number(port), host);
        let answers = "";
        socket.write(request.repeat(30));
        for await (const part of socket) {
            answers += String(part);
        }
        expect(answers.match(/HTTP\/1.1 400/g)!.length).to.be.at.most(20);
        expect(answers.toLowerCase()).to.include("connection: close");
    });

    it("streams a completion to its closing event, with the usage", async () => {
        await start("engine");
        const body = { model: "locker", prompt: "alpha", stream: true, stream_options: { include_usage: true } };
        const text = await (await post("/v1/completions", body)).text();
        expect(text.endsWith("data: [DONE]\n\n")).to.equal(true);
        expect(text).to.include("\"completion_tokens\":8");
    });

    describe("a call that may not be repeated", () => {
        beforeEach(() => start("service"));

        function release(key: string, idempotencyKey: string): Promise<Response> {
            return post("/services/locker/release", { key }, { "idempotency-key": idempotencyKey });
        }

        it("gives its resend the same answer, marked as such", async () => {
            const first = await release("a", "12345678");
            const second = await release("a", "12345678");
            expect([await first.text(), await second.text()]).to.deep.equal(["released a", "released a"]);
            expect(second.headers.get("basilwing-replayed")).to.equal("yes");
            expect(cluster.runs.length).to.equal(1);
        });
        it("gives concurrent resends the one answer", async () => {
            const responses = await Promise.all([1, 2, 3, 4].map(() => release("a", "12345678")));
            const texts = await Promise.all(responses.map(response => response.text()));
            expect(new Set(texts)).to.deep.equal(new Set(["released a"]));
            expect(cluster.runs.length).to.equal(1);
        });
        it("is refused with another body under the same key", async () => {
            await (await release("a", "12345678")).text();
            expect((await release("b", "12345678")).status).to.equal(422);
        });
        it("is told that its outcome is unknown, and never runs again", async () => {
            cluster.sidecars.forEach(({ service }) => service.setMode("resetAfterRun"));
            const first = await release("a", "12345678");
            cluster.sidecars.forEach(({ service }) => service.setMode("ok"));
            const second = await release("a", "12345678");
            const told = [first, second].map(({ headers, status }) => [status, headers.get("basilwing-run")]);
            expect(told).to.deep.equal([[502, "unknown"], [502, "unknown"]]);
            expect(cluster.runs.length).to.equal(1);
        });
        it("is told nothing of whether it ran while the claims can't be asked", async () => {
            cluster.control.setMode("down");
            const refused = await post(
                "/services/locker/release",
                { key: "a" },
                { "idempotency-key": "12345678", "basilwing-timeout-milliseconds": "100" },
            );
            expect(refused.headers.get("basilwing-run")).to.equal("unknown");
            cluster.control.setMode("ok");
        });
        it("runs without a key", async () => {
            const response = await post("/services/locker/release", { key: "a" });
            expect([await response.text(), response.headers.get("basilwing-run")]).to.deep.equal(["released a", "yes"]);
        });
    });

    describe("stop", () => {
        it("finishes what is in flight, and refuses what comes later", async () => {
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
            const held = Array.from({ length: 15 }, () => connect(Number(port), host).on("error", () => {}));
            held.forEach(socket => socket.write(createHead(["content-length: 10"])));
            while (entry.getRequestsInFlight() < held.length) {
                await new Promise(resolve => setImmediate(resolve));
            }
            const body = { model: "locker", prompt: "alpha" };
            const response = await post("/v1/completions", body, { "basilwing-priority": priority });
            expect(response.status).to.equal(expectedStatus);
            expect(response.headers.get("basilwing-run")).to.equal(expectedStatus === 200 ? "yes" : "no");
            held.forEach(socket => socket.destroy());
        }

        it("sheds requests that can wait, and says truly that they did not run", () => doTest("deferred", 503));
        it("still takes the others", () => doTest("standard", 200));
    });
});
