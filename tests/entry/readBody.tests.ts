import { expect } from "chai";
import { once } from "node:events";
import { createServer, Server } from "node:http";
import { AddressInfo, createConnection } from "node:net";
import { readBody } from "../../src/entry/readBody";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { RefusalReason } from "../../src/protocol";
import { createRequestMemory } from "../../src/requestMemory";
import { createSystemClock, pollConnections } from "../../src/runtime";
import { freeTurns } from "../support/freeTurns";

describe("readBody", () => {
    const maximumBytes = 262_144;
    let server: Server;
    let port: number;
    /** The outcomes in order: the length of a body, or the reason of a refusal. */
    let outcomes: (number | string)[];

    beforeEach(async () => {
        outcomes = [];
        const memory = createRequestMemory({
            getMaximumBytes: () => 400_000,
            pollConnections,
            clock: createSystemClock(),
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        server = createServer((request, response) =>
            void readBody(request, response, maximumBytes, { memory, turns: freeTurns }).then(outcome => {
                outcomes.push(outcome.kind === "read" ? outcome.body.length : RefusalReason[outcome.refusal.reason]);
                response.end();
            })
        );
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        ({ port } = server.address() as AddressInfo);
    });
    afterEach(() => {
        server.closeAllConnections();
        server.close();
    });

    /** Sends parts on connections of their own, and waits for a number of outcomes. */
    async function doTest(
        requests: readonly (readonly [header: string, body: string])[],
        expected: (number | string)[],
    ) {
        for (const [header, body] of requests) {
            const socket = createConnection(port, "127.0.0.1").on("error", () => undefined);
            socket.write(`POST / HTTP/1.1\r\nHost: one.example\r\n${header}\r\n\r\n${body}`);
        }
        while (outcomes.length < expected.length) {
            await pollConnections();
        }
        expect(outcomes).to.deep.equal(expected);
    }

    it("reads a body in chunks of one byte", () =>
        doTest([["Transfer-Encoding: chunked", `${"1\r\na\r\n".repeat(50_000)}0\r\n\r\n`]], [50_000]));
    it("refuses a body in chunks that exceeds the limit", () =>
        doTest(
            [["Transfer-Encoding: chunked", `50000\r\n${"a".repeat(0x50000)}\r\n0\r\n\r\n`]],
            ["BODY_TOO_LARGE"],
        ));
    // Neither the request nor the response would announce its end again.
    it("refuses a body whose connection was closed before", async () => {
        const memory = createRequestMemory({
            getMaximumBytes: () => 400_000,
            pollConnections,
            clock: createSystemClock(),
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        const closing = createServer((request, response) => {
            request.socket.destroy();
            response.once(
                "close",
                () =>
                    void pollConnections().then(() =>
                        readBody(request, response, maximumBytes, { memory, turns: freeTurns })
                    ).then(outcome => outcomes.push(outcome.kind)),
            );
        });
        closing.listen(0, "127.0.0.1");
        await once(closing, "listening");
        const socket = createConnection((closing.address() as AddressInfo).port, "127.0.0.1");
        socket.on("error", () => undefined);
        socket.write("POST / HTTP/1.1\r\nHost: one.example\r\nContent-Length: 10\r\n\r\n");
        while (outcomes.length === 0) {
            await pollConnections();
        }
        expect(outcomes).to.deep.equal(["refused"]);
        expect(memory.getBytes()).to.equal(0);
        closing.close();
    });
    // Two bodies of this size need more memory than there is.
    it("refuses a body that stops short where another one waits for memory", () =>
        doTest(
            [
                [`Content-Length: ${maximumBytes}`, "a".repeat(maximumBytes - 10)],
                [`Content-Length: ${maximumBytes}`, "a".repeat(maximumBytes)],
            ],
            ["OVERLOADED", maximumBytes],
        ));
});
