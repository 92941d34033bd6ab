import { expect } from "chai";
import { once } from "node:events";
import { createServer, Server, ServerResponse } from "node:http";
import { AddressInfo, createConnection } from "node:net";
import { setImmediate } from "node:timers/promises";
import { drainEntry } from "../../../platform/roles/drainEntry";
import { createPlannedStop } from "../../../src/forwarding";
import { createSilentLogger } from "../../../src/logging";
import { createSystemClock } from "../../../src/runtime";
import { createManualClock } from "../../support/createManualClock";

describe("drainEntry", () => {
    let server: Server;
    let responses: ServerResponse[];
    let closeUnusedCount: number;
    let openCount: number;

    beforeEach(async () => {
        responses = [];
        closeUnusedCount = 0;
        openCount = 0;
        server = createServer((...[, response]) => {
            responses.push(response);
            openCount += 1;
            response.once("close", () => openCount -= 1);
        });
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });
    afterEach(() => server.closeAllConnections());

    /** Starts a drain; its clock is advanced by poll intervals of 25 ms. */
    function createDrain() {
        const clock = createManualClock();
        const plannedStop = createPlannedStop(clock);
        const drain = { hasExited: false, advancePolls, plannedStop };
        const finished = drainEntry({
            callerServer: { server, closeUnusedConnections: () => closeUnusedCount += 1 },
            plannedStop,
            getRequestCount: () => openCount,
            stopGraceMilliseconds: 8_000,
            clock,
            logger: createSilentLogger(),
            exit: () => drain.hasExited = true,
        });
        return Object.assign(drain, { clock, finished });

        async function advancePolls(count: number): Promise<void> {
            for (let poll = 0; poll < count; poll++) {
                await clock.advance(25);
                await setImmediate();
                await setImmediate();
            }
        }
    }

    it("exits once callers use other processes", async () => {
        const drain = createDrain();
        await drain.advancePolls(100);
        expect(drain.hasExited).to.equal(false);
        await drain.advancePolls(3);
        expect(drain.hasExited).to.equal(true);
    });

    it("closes unused connections once no new ones are accepted, and not before", async () => {
        const drain = createDrain();
        await drain.advancePolls(99);
        expect(closeUnusedCount).to.equal(0);
        await drain.advancePolls(4);
        expect(closeUnusedCount).to.be.greaterThan(0);
    });

    it("responds to a request that is read after the last response ended", async () => {
        const drain = createDrain();
        const socket = createConnection((server.address() as AddressInfo).port, "127.0.0.1");
        const closed = once(socket, "close");
        await once(server, "connection");
        socket.write("GET / HTTP/1.1\r\nhost: one.example\r\n");
        await drain.advancePolls(100);
        const requested = once(server, "request");
        socket.write("\r\n");
        await requested;
        await drain.advancePolls(20);
        expect(drain.hasExited).to.equal(false);
        let text = "";
        socket.on("data", chunk => text += chunk.toString());
        responses[0]!.end("whole");
        await once(responses[0]!, "close");
        await drain.advancePolls(4);
        expect(drain.hasExited).to.equal(true);
        await closed;
        expect(text).to.include("whole");
    });

    // Timers run before sockets are read, so that a kept connection was closed with a whole request in it.
    it("reads the requests that arrived while the process stood still, before it closes idle connections", async () => {
        const clock = createSystemClock();
        const socket = createConnection((server.address() as AddressInfo).port, "127.0.0.1");
        let text = "";
        socket.on("data", chunk => text += chunk.toString());
        socket.on("error", error => text += error.message);
        const closed = new Promise(resolve => socket.on("close", resolve));
        const requestText = "GET / HTTP/1.1\r\nhost: one.example\r\n\r\n";
        server.on("request", (...[, response]) => response.end(`response ${responses.length}`));
        socket.write(requestText);
        await once(socket, "data");
        const drained = new Promise<void>(exit =>
            void drainEntry({
                callerServer: { server, closeUnusedConnections: () => undefined },
                plannedStop: createPlannedStop(clock),
                getRequestCount: () => openCount,
                stopGraceMilliseconds: 8_000,
                clock,
                logger: createSilentLogger(),
                exit,
            })
        );
        await clock.sleep(2_300);
        // The next turn of the event loop begins with the timers.
        await setImmediate();
        socket.write(requestText);
        const start = performance.now();
        while (performance.now() - start < 400) {
            // The event loop stands still.
        }
        await drained;
        await closed;
        expect(text).to.include("response 2");
    });

    it("has what is in progress answered before it exits, and requests that would last longer refused", async () => {
        const drain = createDrain();
        const endMilliseconds = drain.clock.getMonotonicMilliseconds() + 7_300;
        await drain.clock.advance(2_499);
        expect(drain.plannedStop.isTooLate(endMilliseconds + 1)).to.equal(false);
        await drain.clock.advance(1);
        expect(drain.plannedStop.isTooLate(endMilliseconds)).to.equal(false);
        expect(drain.plannedStop.isTooLate(endMilliseconds + 1)).to.equal(true);
        await drain.clock.advance(4_799);
        expect(drain.plannedStop.signal.aborted).to.equal(false);
        await drain.clock.advance(1);
        expect(drain.plannedStop.signal.aborted).to.equal(true);
    });

    it("exits before it would be killed, even with open requests", async () => {
        const drain = createDrain();
        const socket = createConnection((server.address() as AddressInfo).port, "127.0.0.1");
        await once(server, "connection");
        const requested = once(server, "request");
        socket.write("GET / HTTP/1.1\r\nhost: one.example\r\n\r\n");
        await requested;
        await drain.advancePolls(8_000 / 25 - 14);
        expect(drain.hasExited).to.equal(true);
        socket.destroy();
    });
});
