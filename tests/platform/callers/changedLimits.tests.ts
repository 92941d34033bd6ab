import { expect } from "chai";
import { once } from "node:events";
import { CallerServer } from "../../../platform/callers";
import { CallerLimits, RouteTable } from "../../../src/documents";
import { FeedState } from "../../../src/feed";
import { CallerReply } from "../../../src/forwarding";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

// A caller goes by the limits in force, or by those that the last response stated.
describe("startCallerServer, where a change of the limits meets connections and requests", () => {
    const short = 200;
    const long = 15_000;
    /** Longer than a connection is kept by the short limit, with what Node.js adds to it. */
    const beyondShort = short + 1_000 + 500;
    const beyondTimers = 3_000_000_000;

    let callerServer: CallerServer;
    let limits: CallerLimits;
    let replies: Map<string, CallerReply>;
    let bodyLengths: number[];
    beforeEach(async () => {
        limits = {
            maximumHeaderBytes: 16_384,
            maximumBodyBytes: 1_000,
            headerTimeoutMilliseconds: 5_000,
            idleTimeoutMilliseconds: short,
        };
        replies = new Map();
        bodyLengths = [];
        const state = { getRouteTable: () => ({ document: { limits, routes: [] } }) as unknown as RouteTable };
        callerServer = await startTestCallerServer(({ requestId, body }, reply) => {
            bodyLengths.push(body.length);
            if (requestId.startsWith("held")) {
                replies.set(requestId, reply);
                return;
            }
            sendResponse(reply);
        }, { state: state as unknown as FeedState });
        // Has the first limits stated.
        const first = openRawCaller(callerServer);
        first.request("first");
        await first.waitForStatuses(1, long);
        first.socket.destroy();
    });
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    function sendResponse(reply: CallerReply): void {
        reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
    }

    function sleep(milliseconds: number): Promise<void> {
        return new Promise(resolve => setTimeout(resolve, milliseconds));
    }

    /** Opens a connection that is idle after a first response. */
    async function openIdleCaller() {
        const caller = openRawCaller(callerServer);
        caller.request("1");
        await caller.waitForStatuses(1, long);
        return caller;
    }

    describe("an idle connection", () => {
        // Its connection was closed by the limit that its last response had stated.
        it("is kept for a longer limit that comes while it is idle", async () => {
            const caller = await openIdleCaller();
            limits = { ...limits, idleTimeoutMilliseconds: long };
            await sleep(beyondShort);
            caller.request("2");
            expect(await caller.waitForStatuses(2, long)).to.deep.equal([200, 200]);
        });

        it("is closed by the former limit where a longer one is taken back meanwhile", async () => {
            const caller = await openIdleCaller();
            limits = { ...limits, idleTimeoutMilliseconds: long };
            await sleep(short);
            limits = { ...limits, idleTimeoutMilliseconds: short };
            await caller.waitForStatuses(2, long);
            expect(caller.hasEnded()).to.equal(true);
        });

        // Node.js takes 0 for no limit.
        it("is closed where the limit is 0", async () => {
            limits = { ...limits, idleTimeoutMilliseconds: 0 };
            await openIdleCaller();
            const caller = await openIdleCaller();
            await caller.waitForStatuses(2, long);
            expect(caller.hasEnded()).to.equal(true);
        });

        it("is kept, without a warning, where the limit is longer than a timer can be set", async () => {
            const warnings: string[] = [];
            const addWarning = ({ message }: Error) => void warnings.push(message);
            process.on("warning", addWarning);
            limits = { ...limits, idleTimeoutMilliseconds: beyondTimers };
            await openIdleCaller();
            const caller = await openIdleCaller();
            await sleep(beyondShort);
            caller.request("2");
            expect(await caller.waitForStatuses(2, long)).to.deep.equal([200, 200]);
            process.off("warning", addWarning);
            expect(warnings).to.deep.equal([]);
        });

        it("is kept where a limit that is longer than a timer can be set comes while it is idle", async () => {
            const caller = await openIdleCaller();
            limits = { ...limits, idleTimeoutMilliseconds: beyondTimers };
            await sleep(beyondShort);
            caller.request("2");
            expect(await caller.waitForStatuses(2, long)).to.deep.equal([200, 200]);
        });

        // The idle limit cut a head that the limit on heads allowed.
        it("is kept while a head arrives slowly", async () => {
            const caller = await openIdleCaller();
            caller.socket.write("GET /reads/2 HTTP/1.1\r\nHost: one.example\r\n");
            await sleep(beyondShort);
            caller.socket.write("Basilwing-Request-Id: 2\r\n\r\n");
            expect(await caller.waitForStatuses(2, long)).to.deep.equal([200, 200]);
        });

        it("is closed where a head is not completed within the limit on heads", async () => {
            limits = { ...limits, headerTimeoutMilliseconds: short * 2 };
            const caller = await openIdleCaller();
            caller.socket.write("GET /reads/2 HTTP/1.1\r\nHost: one.example\r\n");
            await caller.waitForStatuses(2, long);
            expect([caller.getStatuses(), caller.hasEnded()]).to.deep.equal([[200], true]);
        });
    });

    describe("requests", () => {
        it("in progress, and behind each other on one connection, are answered after a shorter idle limit", async () => {
            limits = { ...limits, idleTimeoutMilliseconds: long };
            const caller = openRawCaller(callerServer);
            ["held-1", "held-2", "held-3"].forEach(id => caller.request(id));
            while (replies.size < 3) {
                await sleep(1);
            }
            limits = { ...limits, idleTimeoutMilliseconds: short };
            sendResponse(replies.get("held-2")!);
            sendResponse(replies.get("held-1")!);
            await sleep(beyondShort);
            sendResponse(replies.get("held-3")!);
            expect(await caller.waitForStatuses(3, long)).to.deep.equal([200, 200, 200]);
        });

        async function doTest(
            initial: Partial<CallerLimits>,
            change: Partial<CallerLimits>,
            length: number,
            expectedStatus: number,
        ): Promise<void> {
            limits = { ...limits, ...initial };
            const caller = openRawCaller(callerServer);
            const requested = once(callerServer.server, "request");
            caller.socket.write(
                `POST /reads/1 HTTP/1.1\r\nHost: one.example\r\nBasilwing-Request-Id: 1\r\nContent-Length: ${length}\r\n\r\n`,
            );
            caller.socket.write(Buffer.alloc(length / 2));
            await requested;
            limits = { ...limits, ...change };
            await sleep(change.idleTimeoutMilliseconds === undefined ? 10 : beyondShort);
            caller.socket.write(Buffer.alloc(length / 2));
            expect(await caller.waitForStatuses(1, long)).to.deep.equal([expectedStatus]);
            expect(bodyLengths.slice(1)).to.deep.equal(expectedStatus === 200 ? [length] : []);
            caller.request("2");
            expect(await caller.waitForStatuses(2, long)).to.deep.equal([expectedStatus, 200]);
        }

        it("whose body is on its way are answered after a lower limit on bodies", () =>
            doTest({ maximumBodyBytes: 1_000 }, { maximumBodyBytes: 10 }, 1_000, 200));
        // Callers don't send a request again after this refusal.
        it("whose body is on its way are answered after a higher limit on bodies", () =>
            doTest({ maximumBodyBytes: 800 }, { maximumBodyBytes: 1_000 }, 1_000, 200));
        it("whose body is above the limits before and after a change are refused", () =>
            doTest({ maximumBodyBytes: 800 }, { maximumBodyBytes: 900 }, 1_000, 413));
        it("whose body is on its way are answered after a shorter idle limit", () =>
            doTest({ idleTimeoutMilliseconds: long }, { idleTimeoutMilliseconds: short }, 1_000, 200));
        it("whose body is on its way are answered after an idle limit of 0", () =>
            doTest({ idleTimeoutMilliseconds: long }, { idleTimeoutMilliseconds: 0 }, 1_000, 200));
        it("whose body is on its way are answered after a shorter limit on heads", () =>
            doTest({}, { headerTimeoutMilliseconds: 1 }, 1_000, 200));
    });
});
