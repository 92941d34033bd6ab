import { expect } from "chai";
import { once } from "node:events";
import { createServer, Server, ServerResponse } from "node:http";
import { AddressInfo, createConnection } from "node:net";
import { drainEntry } from "../../../platform/roles/drainEntry";
import { createSilentLogger } from "../../../src/logging";
import { createManualClock } from "../../support/createManualClock";

describe("finishEntry", () => {
    let server: Server;
    let responses: ServerResponse[];

    beforeEach(async () => {
        responses = [];
        server = createServer((...[, response]) => void responses.push(response));
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
    });
    afterEach(() => server.closeAllConnections());

    /** Starts a stop whose forwarder has nothing in flight; moves its clock by looks of 25 ms. */
    function createTrial() {
        const clock = createManualClock();
        const trial = { isEnded: false, look };
        const finished = drainEntry({
            server,
            forwarder: { getActiveCount: () => 0 },
            stopGraceMilliseconds: 8_000,
            clock,
            logger: createSilentLogger(),
            exit: () => trial.isEnded = true,
        });
        return Object.assign(trial, { clock, finished });

        async function look(count: number): Promise<void> {
            for (let place = 0; place < count; place++) {
                await clock.advance(25);
                await new Promise(resolve => setImmediate(() => setImmediate(resolve)));
            }
        }
    }

    it("ends once callers have turned elsewhere", async () => {
        const trial = createTrial();
        await trial.look(100);
        expect(trial.isEnded).to.equal(false);
        await trial.look(3);
        expect(trial.isEnded).to.equal(true);
    });

    it("answers a request that is read after the last answer ended", async () => {
        const trial = createTrial();
        const socket = createConnection((server.address() as AddressInfo).port, "127.0.0.1");
        const closed = once(socket, "close");
        await once(server, "connection");
        socket.write("GET / HTTP/1.1\r\nhost: one.example\r\n");
        await trial.look(100);
        const requested = once(server, "request");
        socket.write("\r\n");
        await requested;
        await trial.look(20);
        expect(trial.isEnded).to.equal(false);
        let text = "";
        socket.on("data", part => text += part.toString());
        responses[0]!.end("whole");
        await once(responses[0]!, "close");
        await trial.look(4);
        expect(trial.isEnded).to.equal(true);
        await closed;
        expect(text).to.include("whole");
    });

    it("ends before it would be killed, whatever is still open", async () => {
        const trial = createTrial();
        const socket = createConnection((server.address() as AddressInfo).port, "127.0.0.1");
        await once(server, "connection");
        const requested = once(server, "request");
        socket.write("GET / HTTP/1.1\r\nhost: one.example\r\n\r\n");
        await requested;
        await trial.look(8_000 / 25 - 14);
        expect(trial.isEnded).to.equal(true);
        socket.destroy();
    });
});
