import { expect } from "chai";
import type { Socket } from "node:net";
import { checkInstance, createCacheChangeSource } from "../../platform/backends";
import { createEngineControl } from "../../platform/engines";
import { createFleetListClient } from "../../platform/fleet";
import { InstanceState } from "../../src/crashQuarantine";
import { createSilentLogger } from "../../src/logging";
import { testServices } from "../crashQuarantine/testServices";
import { createTestInstance } from "../feed/createTestFeed";
import { answerFaults } from "./answerFaults";
import { startRawServer } from "./startRawServer";

describe("a call of the platform's processes, with an answer that is no whole answer", () => {
    const logger = createSilentLogger();

    interface TestedCall {
        statusLine?: string;
        body: string;
        /** Makes the call; returns whether it is taken for a success. */
        succeeds(address: string, signal: AbortSignal): Promise<boolean>;
    }

    function order(address: string, signal: AbortSignal) {
        return createEngineControl(logger).orderWeights({
            instance: createTestInstance({ address }),
            model: "large",
            weightsVersion: 2,
            holder: "leader",
            fencingToken: 1n,
            expectedOrderCount: 0,
        }, signal);
    }

    const calls: Record<string, TestedCall> = {
        "a probe of a plain server": {
            body: "sound",
            succeeds: async (address, signal) =>
                await checkInstance(createTestInstance({ address }), testServices.plain, signal)
                    === InstanceState.Serving,
        },
        "a probe of an engine": {
            body: "sound",
            succeeds: async (address, signal) =>
                await checkInstance(createTestInstance({ address }), testServices.engine, signal)
                    === InstanceState.Serving,
        },
        "a probe that finds another server": {
            statusLine: "421 Misdirected Request",
            body: "other",
            succeeds: async (address, signal) =>
                await checkInstance(createTestInstance({ address }), testServices.plain, signal)
                    === InstanceState.Ended,
        },
        "a page of the platform's list": {
            body: `{"instances":[],"next_token":null}`,
            succeeds: async (address, signal) =>
                await createFleetListClient(address, logger).getInstances(signal) !== undefined,
        },
        "the changes of a cache": {
            body: `{"boot_epoch":1,"next_token":1,"lost":false,"events":[]}`,
            succeeds: async (address, signal) =>
                await createCacheChangeSource(logger).getChanges(address, 0, 0, signal) !== undefined,
        },
        "the report of an engine": {
            body: `{"seq_no":1,"busy":false,"models":[]}`,
            succeeds: async (address, signal) =>
                await createEngineControl(logger).readReport(createTestInstance({ address }), signal) !== undefined,
        },
        "an order to an engine that is accepted": {
            statusLine: "202 Accepted",
            body: "{}",
            succeeds: async (address, signal) => (await order(address, signal)).kind !== "unknown",
        },
        "an order to an engine that is carried out": {
            body: "{}",
            succeeds: async (address, signal) => (await order(address, signal)).kind !== "unknown",
        },
    };

    async function run(call: TestedCall, respond: (socket: Socket) => void) {
        const server = await startRawServer(respond);
        const timeout = new AbortController();
        const timer = setTimeout(() => timeout.abort(), 10_000);
        const succeeded = await call.succeeds(server.address, timeout.signal);
        clearTimeout(timer);
        const requestCount = server.requests.length;
        await server.stop();
        return { succeeded, requestCount, isTimedOut: timeout.signal.aborted };
    }

    for (const [name, call] of Object.entries(calls)) {
        const whole = { statusLine: call.statusLine ?? "200 OK", fields: "", body: call.body };
        describe(name, () => {
            it("is a success with a whole answer", async () =>
                expect(
                    await run(call, socket => {
                        const { statusLine, body } = whole;
                        socket.write(`HTTP/1.1 ${statusLine}\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
                    }),
                ).to.deep.equal({ succeeded: true, requestCount: 1, isTimedOut: false }));
            it("is a success with a whole answer that ends with its connection", async () =>
                expect(
                    await run(call, socket => void socket.end(`HTTP/1.1 ${whole.statusLine}\r\n\r\n${whole.body}`)),
                ).to.deep.equal({ succeeded: true, requestCount: 1, isTimedOut: false }));
            for (const [fault, respond] of Object.entries(answerFaults)) {
                it(`is no success with ${fault}`, async () =>
                    expect(await run(call, socket => respond(socket, whole)))
                        .to.deep.equal({ succeeded: false, requestCount: 1, isTimedOut: false }));
            }
        });
    }

    it("finds a server sound whose response to a probe has no end, and closes the connection", async () => {
        let isClosed = false;
        const server = await startRawServer(socket => {
            socket.on("close", () => isClosed = true);
            socket.write(`HTTP/1.1 200 OK\r\n\r\n${"x".repeat(262_144)}`);
        });
        const probe = calls["a probe of a plain server"]!;
        expect(await probe.succeeds(server.address, AbortSignal.timeout(10_000))).to.equal(true);
        for (let count = 0; !isClosed && count < 400; count++) {
            await new Promise(resolve => setTimeout(resolve, 5));
        }
        expect(isClosed).to.equal(true);
        await server.stop();
    });

    ["000", "099", "600", "999"].forEach(status => {
        it(`is not judged by an assertion of the HTTP client (status ${status})`, async () => {
            const server = await startRawServer(socket =>
                void socket.write(`HTTP/1.1 ${status} Odd\r\nContent-Length: 0\r\n\r\n`)
            );
            expect(await order(server.address, new AbortController().signal)).to.deep.equal({
                kind: "unknown",
                reason: `status ${Number(status)} is not a status of a final response`,
            });
            await server.stop();
        });
    });
});
