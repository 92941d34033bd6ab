import { expect } from "chai";
import { setTimeout as sleep } from "node:timers/promises";
import { CallerServer } from "../../../platform/callers";
import { RouteTable } from "../../../src/documents";
import { FeedState } from "../../../src/feed";
import { CallerReply } from "../../../src/forwarding";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

describe("startCallerServer, on idle connections", () => {
    const longMilliseconds = 4_000;
    const shortMilliseconds = 200;
    /** How much longer than the limit Node.js keeps a connection. */
    const bufferMilliseconds = 1_000;

    let callerServer: CallerServer;
    let idleTimeoutMilliseconds: number;
    let held: CallerReply[];
    const caller = () => openRawCaller(callerServer);

    beforeEach(async () => {
        held = [];
        const limits = {
            maximumBodyBytes: 1_000,
            get idleTimeoutMilliseconds() {
                return idleTimeoutMilliseconds;
            },
        };
        const state = { getRouteTable: () => ({ document: { limits, routes: [] } }) as unknown as RouteTable };
        callerServer = await startTestCallerServer(({ requestId }, reply) => {
            if (requestId === "held") {
                held.push(reply);
                return;
            }
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

    function getToldSeconds(text: string): number {
        return Number([...text.matchAll(/keep-alive: timeout=(\d+)/gi)].at(-1)?.[1] ?? NaN);
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

    it("keep the limit that their callers were told when a shorter one comes during a request", async () => {
        await setIdleTimeout(longMilliseconds);
        const kept = caller();
        kept.request("held");
        while (held.length === 0) {
            await sleep(1);
        }
        await setIdleTimeout(shortMilliseconds);
        held.forEach(sendResponse);
        await kept.waitForStatuses(1);
        expect(getToldSeconds(kept.getText())).to.equal(longMilliseconds / 1_000);
        await sleep(bufferMilliseconds + shortMilliseconds * 3);
        kept.request("2");
        expect(await kept.waitForStatuses(2)).to.deep.equal([200, 200]);
    });

    it("keep the limit that their callers were told by the first request after a change", async () => {
        await setIdleTimeout(longMilliseconds);
        idleTimeoutMilliseconds = shortMilliseconds;
        const kept = caller();
        kept.request("1");
        await kept.waitForStatuses(1);
        await sleep(bufferMilliseconds + shortMilliseconds * 3);
        if (getToldSeconds(kept.getText()) === longMilliseconds / 1_000) {
            kept.request("2");
            await kept.waitForStatuses(2);
        }
        expect(kept.getStatuses()).to.deep.equal([200, 200]);
    });

    it("apply a shorter limit once their callers have been told", async () => {
        await setIdleTimeout(longMilliseconds);
        await setIdleTimeout(shortMilliseconds);
        const idle = caller();
        idle.request("1");
        await idle.waitForStatuses(1);
        await idle.waitForStatuses(2, longMilliseconds / 2);
        expect(idle.hasEnded()).to.equal(true);
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
