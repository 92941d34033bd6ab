import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerServer } from "../../../platform/callers";
import { RouteTable } from "../../../src/documents";
import { FeedState } from "../../../src/feed";
import { CallerReply } from "../../../src/forwarding";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

describe("startCallerServer, on idle connections", () => {
    const shortMilliseconds = 200;
    /** How much longer than the limit Node.js keeps a connection. */
    const bufferMilliseconds = 1_000;

    let callerServer: CallerServer;
    let idleTimeoutMilliseconds: number;
    const caller = () => openRawCaller(callerServer);

    beforeEach(async () => {
        const limits = {
            maximumBodyBytes: 1_000,
            get idleTimeoutMilliseconds() {
                return idleTimeoutMilliseconds;
            },
        };
        const state = { getRouteTable: () => ({ document: { limits } }) as unknown as RouteTable };
        callerServer = await startTestCallerServer((...[, reply]) => {
            sendResponse(reply);
        }, { state: state as unknown as FeedState });
    });
    afterEach(() => {
        callerServer.server.closeAllConnections();
        callerServer.server.close();
    });

    function sendResponse(reply: CallerReply): void {
        reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
    }

    /** Has another caller's request apply an idle limit. */
    async function setIdleTimeout(milliseconds: number): Promise<void> {
        idleTimeoutMilliseconds = milliseconds;
        const other = caller();
        other.request("other");
        await other.waitForStatuses(1);
        other.socket.destroy();
    }

    it("are closed after the limit, and not before", async () => {
        await setIdleTimeout(500);
        const idle = caller();
        idle.request("1");
        await idle.waitForStatuses(1);
        await sleep(300);
        expect(idle.hasEnded()).to.equal(false);
        await idle.waitForStatuses(2);
        expect([idle.getStatuses(), idle.hasEnded()]).to.deep.equal([[200], true]);
    });

    // Timers run before sockets are read, so that the timer closed connections in which a whole request was waiting.
    it("are not closed with an unread request after the process stood still", async () => {
        await setIdleTimeout(shortMilliseconds);
        const kept = caller();
        kept.request("1");
        await kept.waitForStatuses(1);
        await sleep(shortMilliseconds / 2);
        kept.request("2");
        const start = performance.now();
        while (performance.now() - start < bufferMilliseconds + shortMilliseconds) {
            // The event loop stands still.
        }
        expect(await kept.waitForStatuses(2)).to.deep.equal([200, 200]);
    });
});
