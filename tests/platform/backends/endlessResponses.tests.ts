import { expect } from "chai";
import { once } from "node:events";
import type { Socket } from "node:net";
import { createBackendLink } from "../../../platform/backends";
import { createForwarder, createPlannedStop } from "../../../src/forwarding";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { createRandomSource, createSystemClock } from "../../../src/runtime";
import { createTestCrashQuarantine } from "../../crashQuarantine/createTestCrashQuarantine";
import { createTestFactStore } from "../../facts/createTestFacts";
import { createTestFeedState, createTestInstance } from "../../feed/createTestFeed";
import { createTestReply } from "../../forwarding/createTestReply";
import { createTestRequest } from "../../forwarding/createTestRequest";
import { createTestServerLimits } from "../../serverLimits/createTestServerLimits";
import { createTestStreamOrigins } from "../../streamOrigins/createTestStreamOrigins";
import { unlimitedQuotas } from "../../workspaceQuotas/unlimitedQuotas";
import { startRawServer } from "../startRawServer";

describe("createBackendLink, with bytes without end", () => {
    const maximumReceivedBytes = 32 * 1_048_576;
    const identity = "Basilwing-Request-Id: request-1\r\nBasilwing-Response-Seal: seal\r\n";
    const block = Buffer.alloc(65_536, "x");
    const read = { path: "/reads/1", target: "/reads/1" };
    const label = createTestRequest.createPrompt("/labels/1");

    interface TrialOptions {
        /** What is sent once. */
        start: string;
        /** What is sent again and again. */
        repeated: string | Buffer;
        /** The pause between two of them; 0 sends as fast as they are received. */
        pauseMilliseconds?: number;
    }

    /** Forwards a request to a server that sends without end; returns the outcome once the server's connection is closed. */
    async function runTrial({ start, repeated, pauseMilliseconds = 0 }: TrialOptions, request: object) {
        let sentBytes = 0;
        let resolveClosed: () => void = () => undefined;
        const closed = new Promise<void>(resolve => resolveClosed = resolve);
        const server = await startRawServer(socket => {
            socket.on("close", resolveClosed);
            socket.write(start);
            void sendWithoutEnd(socket);
        });
        const clock = createSystemClock();
        const instances = ["engine-1", "actions-1"].map(instanceId =>
            createTestInstance({
                instanceId,
                address: server.address,
                service: instanceId === "engine-1" ? "models" : "actions",
            })
        );
        const state = createTestFeedState(clock, instances);
        const link = createBackendLink();
        const forwarder = createForwarder({
            plannedStop: createPlannedStop(clock),
            pollConnections: () => Promise.resolve(),
            facts: createTestFactStore(clock),
            state,
            link,
            crashQuarantine: createTestCrashQuarantine({ state, link, clock }),
            serverLimits: createTestServerLimits(state, clock),
            streamOrigins: createTestStreamOrigins(),
            workspaceQuotas: unlimitedQuotas,
            kvCacheStores: { isReachable: () => false, hasPart: () => false },
            dataCentre: "west",
            signal: AbortSignal.timeout(20_000),
            maximumDocumentAgeMilliseconds: 60_000,
            supersededWeightsGraceMilliseconds: 10_000,
            retryShare: 0.2,
            retryReserve: 50,
            retryWindowMilliseconds: 0,
            clock,
            random: createRandomSource(1),
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        const reply = createTestReply();
        const arrivalMilliseconds = clock.getMonotonicMilliseconds();
        await forwarder.forward(createTestRequest({ ...request, arrivalMilliseconds }), reply);
        await Promise.race([closed, clock.sleep(10_000)]);
        const isClosed = await Promise.race([closed.then(() => true), clock.sleep(0).then(() => false)]);
        await link.stop();
        await server.stop();
        return { isClosed, isBounded: sentBytes <= maximumReceivedBytes, refusal: reply.getRefusal()?.kind };

        async function sendWithoutEnd(socket: Socket): Promise<void> {
            while (!socket.destroyed) {
                sentBytes += repeated.length;
                if (!socket.write(repeated)) {
                    await Promise.race([once(socket, "drain"), closed]).catch(() => undefined);
                }
                await clock.sleep(pauseMilliseconds);
            }
        }
    }

    async function doTest(options: TrialOptions, request: object, refusal: "unknown" | "notRun"): Promise<void> {
        expect(await runTrial(options, request)).to.deep.equal({ isClosed: true, isBounded: true, refusal });
    }

    it("gives a buffered body without end up", () =>
        doTest({ start: `HTTP/1.1 200 OK\r\n${identity}\r\n`, repeated: block }, read, "unknown"));
    it("gives an event without end up", () =>
        doTest({ start: `HTTP/1.1 200 OK\r\n${identity}\r\nid: 1\ndata: `, repeated: block }, label, "unknown"));
    it("closes the connection of a response that was not run and has no end", () =>
        doTest(
            { start: `HTTP/1.1 503 Full\r\n${identity}Basilwing-Not-Executed: 1\r\n\r\n`, repeated: block },
            read,
            "notRun",
        ));
    it("closes the connection of a response that was not run and ends too slowly", () =>
        doTest(
            {
                start: `HTTP/1.1 503 Full\r\n${identity}Basilwing-Not-Executed: 1\r\n\r\n`,
                repeated: "x",
                pauseMilliseconds: 20,
            },
            read,
            "notRun",
        ));
    it("gives a head without end up", () =>
        doTest({ start: "HTTP/1.1 200 OK\r\n", repeated: `X: ${"x".repeat(1_000)}\r\n` }, read, "unknown"));
    it("gives bytes that are no response up", () => doTest({ start: "y", repeated: block }, read, "unknown"));
    it("gives informational responses without end up", () =>
        doTest({ start: "", repeated: "HTTP/1.1 103 Early Hints\r\n\r\n" }, read, "unknown"));
});
