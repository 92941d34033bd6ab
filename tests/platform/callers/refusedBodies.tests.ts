import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerServer } from "../../../platform/callers";
import { createPlannedStop } from "../../../src/forwarding";
import { createSystemClock } from "../../../src/runtime";
import { createTestDocument } from "../../documents/createTestDocument";
import { createTestFeedState } from "../../feed/createTestFeed";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

describe("startCallerServer, where bodies need more memory than there is", () => {
    const maximumBodyBytes = 262_144;
    const head = "POST /reads/1 HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: large\r\n";
    const legalHead = `${head}Content-Length: ${maximumBodyBytes}\r\n\r\n`;
    const bodyLengths: number[] = [];
    let callerServer: CallerServer;

    beforeEach(async () => {
        bodyLengths.length = 0;
        const { limits } = createTestDocument();
        const state = createTestFeedState(createSystemClock(), [], { limits: { ...limits, maximumBodyBytes } });
        callerServer = await startTestCallerServer(({ body }, reply) => {
            bodyLengths.push(body.length);
            reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
            // Room for one body of the largest size.
        }, { state, memoryBytes: 1 });
    });
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    /** Opens a caller that sends all of a body but its last bytes. */
    function openStalledCaller() {
        const caller = openRawCaller(callerServer);
        caller.socket.write(legalHead);
        caller.socket.write(Buffer.alloc(maximumBodyBytes - 10));
        return caller;
    }

    // A connection that is closed with unread bytes is reset, and the refusal is lost.
    it("refuses the one without progress as not run, with its connection closed, and reads the other one", async () => {
        const stalled = openStalledCaller();
        await sleep(100);
        const other = openRawCaller(callerServer);
        other.socket.write(legalHead);
        other.socket.write(Buffer.alloc(maximumBodyBytes));
        expect(await stalled.waitForStatuses(1, 5_000)).to.deep.equal([503]);
        expect(stalled.getText().toLowerCase()).to.include("connection: close").and.to.include("retry-after: 0.");
        expect(await other.waitForStatuses(1, 5_000)).to.deep.equal([200]);
        expect(bodyLengths).to.deep.equal([maximumBodyBytes]);
    });

    it("answers small requests meanwhile", async () => {
        openStalledCaller();
        openStalledCaller();
        const small = openRawCaller(callerServer);
        small.socket.write(`${head}Content-Length: 1000\r\n\r\n${"a".repeat(1_000)}`);
        expect(await small.waitForStatuses(1)).to.deep.equal([200]);
    });

    // Reading stops while a body waits; the rest of its connection was not read where the body had arrived whole.
    it("answers the next request on a connection whose body needed more memory than there was", async () => {
        openStalledCaller();
        await sleep(100);
        const caller = openRawCaller(callerServer);
        const chunk = `11000\r\n${"a".repeat(0x11000)}\r\n`;
        caller.socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n${chunk}0\r\n\r\n`);
        expect(await caller.waitForStatuses(1, 5_000)).to.deep.equal([200]);
        caller.request("2");
        expect(await caller.waitForStatuses(2)).to.deep.equal([200, 200]);
    });

    it("delivers the refusal of a body far over the limit to a caller that is still sending", async () => {
        const caller = openRawCaller(callerServer);
        caller.socket.write(`${head}Content-Length: 100000000\r\n\r\n`);
        caller.socket.write(Buffer.alloc(20_000_000));
        expect(await caller.waitForStatuses(1)).to.deep.equal([413]);
        expect(caller.getText().toLowerCase()).to.include("connection: close");
    });

    it("reads a body in chunks of one byte, which arrive piece by piece", async () => {
        const caller = openRawCaller(callerServer);
        caller.socket.write(`${head}Transfer-Encoding: chunked\r\n\r\n`);
        const chunks = "1\r\na\r\n".repeat(20_000);
        for (let offset = 0; offset < chunks.length; offset += 9_999) {
            caller.socket.write(chunks.slice(offset, offset + 9_999));
            await sleep(1);
        }
        caller.socket.write("0\r\n\r\n");
        expect(await caller.waitForStatuses(1)).to.deep.equal([200]);
        expect(bodyLengths).to.deep.equal([20_000]);
    });

    it("refuses a head that has not ended, where there is no memory for parts of heads", async () => {
        const caller = openRawCaller(callerServer);
        caller.socket.write(head);
        expect(await caller.waitForStatuses(1)).to.deep.equal([408]);
    });

    // Guards against a request that is forwarded although its caller was told by 408 that it has not run.
    it("does not forward a request whose head was refused and ends afterwards", async () => {
        const unreadBytes = 2_500_000;
        let forwardedCount = 0;
        const slowlyRead = await startTestCallerServer((...[, reply]) => {
            forwardedCount += 1;
            reply.send({ status: 200, headers: [] }, Buffer.alloc(unreadBytes));
        }, { memoryBytes: 200_000 });
        const caller = openRawCaller(slowlyRead);
        caller.socket.pause();
        caller.socket.write(`${head}Content-Length: 0\r\n\r\n`);
        await sleep(600);
        caller.socket.write(`${head}Filling: ${"a".repeat(12_000)}`);
        await sleep(600);
        caller.socket.write("\r\nContent-Length: 0\r\n\r\n");
        await sleep(300);
        caller.socket.resume();
        expect(await caller.waitForStatuses(2)).to.deep.equal([200, 408]);
        expect(forwardedCount).to.equal(1);
        slowlyRead.server.closeAllConnections();
        slowlyRead.server.close();
    });

    // Guards against refusals of honest uploads, which a larger process has the memory for.
    it("reads five bodies of the largest size that arrive slowly at the same time", async () => {
        const largestBytes = 4_194_304;
        const { limits } = createTestDocument();
        const changes = { limits: { ...limits, maximumBodyBytes: largestBytes } };
        const state = createTestFeedState(createSystemClock(), [], changes);
        const larger = await startTestCallerServer((...[, reply]) => {
            reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
        }, { state, memoryBytes: 210 * 1_048_576 });
        const callers = Array.from({ length: 5 }, () => openRawCaller(larger));
        callers.forEach(({ socket }) => socket.write(`${head}Content-Length: ${largestBytes}\r\n\r\n`));
        for (let index = 0; index < 16; index++) {
            callers.forEach(({ socket }) => socket.write(Buffer.alloc(largestBytes / 16)));
            await sleep(200);
        }
        const statuses = await Promise.all(callers.map(caller => caller.waitForStatuses(1)));
        expect(statuses).to.deep.equal(callers.map(() => [200]));
        larger.server.closeAllConnections();
        larger.server.close();
    });

    // The unread bytes would reset the connection, and the refusal would be lost.
    it("refuses a body that waits for memory when the process ends soon, with its connection closed", async () => {
        const plannedStop = createPlannedStop(createSystemClock());
        const { limits } = createTestDocument();
        const state = createTestFeedState(createSystemClock(), [], {
            limits: { ...limits, maximumBodyBytes: 4_194_304 },
        });
        const stopping = await startTestCallerServer(() => undefined, { state, memoryBytes: 1, plannedStop });
        const callers = [openRawCaller(stopping), openRawCaller(stopping)];
        const problems: string[] = [];
        callers.forEach(({ socket }) => socket.on("error", ({ message }) => problems.push(message)));
        for (const { socket } of callers) {
            socket.write(`${head}Content-Length: 4194304\r\n\r\n`);
            socket.write(Buffer.alloc(4_194_294));
            await sleep(100);
        }
        plannedStop.begin(100, 200);
        for (const caller of callers) {
            expect(await caller.waitForStatuses(1)).to.deep.equal([503]);
            expect(caller.getText().toLowerCase()).to.include("connection: close").and.to.include("draining");
        }
        await sleep(300);
        expect(problems).to.deep.equal([]);
        stopping.server.closeAllConnections();
        stopping.server.close();
    });

    // A head without its body would otherwise be kept as long as the client likes.
    it("refuses a head above the limit of the routing document before its body has arrived", async () => {
        const caller = openRawCaller(callerServer);
        caller.socket.write(`${head}Filling: ${"a".repeat(17_000)}\r\nContent-Length: 10\r\n\r\n`);
        expect(await caller.waitForStatuses(1)).to.deep.equal([431]);
        expect(caller.getText().toLowerCase()).to.include("connection: close");
        expect(bodyLengths).to.deep.equal([]);
    });

    it("refuses a whole head without its body where there is no memory for another one, and takes the other one", async () => {
        // Room for one of these heads.
        const limited = await startTestCallerServer((...[, reply]) => {
            reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
        }, { memoryBytes: 800_000 });
        const largeHead = `${head}Filling: ${"a".repeat(12_000)}\r\nContent-Length: 10\r\n\r\n`;
        const waiting = openRawCaller(limited);
        waiting.socket.write(largeHead);
        await sleep(100);
        const whole = openRawCaller(limited);
        whole.socket.write(`${largeHead}0123456789`);
        expect(await whole.waitForStatuses(1)).to.deep.equal([200]);
        waiting.socket.write("0123456789");
        expect(await waiting.waitForStatuses(1)).to.deep.equal([503]);
        limited.server.closeAllConnections();
        limited.server.close();
    });

    // Its bytes are not those of a head, though a response on its connection has ended before.
    it("reads a slow body behind another request on its connection", async () => {
        const caller = openRawCaller(callerServer);
        caller.socket.write(`${head}Content-Length: 0\r\n\r\n${head}Content-Length: 1000\r\n\r\n`);
        for (let index = 0; index < 10; index++) {
            await sleep(100);
            caller.socket.write("a".repeat(100));
        }
        expect(await caller.waitForStatuses(2)).to.deep.equal([200, 200]);
    });

    it("discards the rest of a body above the limit, and answers the next request", async () => {
        const caller = openRawCaller(callerServer);
        caller.socket.write(`${head}Content-Length: 400000\r\n\r\n`);
        for (let index = 0; index < 10; index++) {
            await sleep(100);
            caller.socket.write("a".repeat(40_000));
        }
        caller.request("2");
        expect(await caller.waitForStatuses(2)).to.deep.equal([413, 200]);
    });
});
