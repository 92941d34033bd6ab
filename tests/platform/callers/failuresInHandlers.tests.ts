import bunyan from "bunyan";
import { expect } from "chai";
import { Writable } from "node:stream";
import { CallerServer } from "../../../platform/callers";
import { createRouteTable } from "../../../src/documents";
import { FeedState } from "../../../src/feed";
import { CallerReply } from "../../../src/forwarding";
import { createSystemClock } from "../../../src/runtime";
import { createTestDocument } from "../../documents/createTestDocument";
import { createTestFeedState } from "../../feed/createTestFeed";
import { openRawCaller } from "./openRawCaller";
import { startTestCallerServer } from "./startTestCallerServer";

// An exception after the body was read ended the process, and with it every request in progress.
describe("startCallerServer, where handling a request fails", () => {
    let callerServer: CallerServer | undefined;
    let problems: string[];
    let failing: ReturnType<typeof openRawCaller> | undefined;
    afterEach(() => {
        callerServer?.server.closeAllConnections();
        callerServer?.server.close();
    });

    /** Starts a server that holds the request "waiting", and fails as given at the request "failing". */
    async function start(
        fail: (reply: CallerReply) => void | Promise<void>,
        state: FeedState = createTestFeedState(createSystemClock(), []),
    ) {
        const replies: CallerReply[] = [];
        problems = [];
        const stream = new Writable({
            write: (chunk, ...[, callback]) => {
                problems.push(String((JSON.parse(String(chunk)) as { problem?: string; }).problem));
                callback();
            },
        });
        callerServer = await startTestCallerServer(({ requestId }, reply) => {
            if (requestId === "waiting") {
                replies.push(reply);
                return;
            }
            return requestId === "failing" ? fail(reply) : sendResponse(reply);
        }, { logger: bunyan.createLogger({ name: "test", streams: [{ level: "error", stream }] }), state });
        return { release: () => replies.forEach(sendResponse), getHeldCount: () => replies.length };
    }

    function sendResponse(reply: CallerReply): void {
        reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
    }

    async function doTest(
        fail: (reply: CallerReply) => void | Promise<void>,
        expectedStatuses: readonly number[],
        state?: FeedState,
    ) {
        const { release, getHeldCount } = await start(fail, state);
        const waiting = openRawCaller(callerServer!);
        failing = openRawCaller(callerServer!);
        waiting.request("waiting");
        while (getHeldCount() === 0) {
            await new Promise(resolve => setImmediate(resolve));
        }
        failing.request("failing");
        await failing.waitForStatuses(1);
        failing.request("next");
        expect(await failing.waitForStatuses(expectedStatuses.length)).to.deep.equal(expectedStatuses);
        release();
        expect(await waiting.waitForStatuses(1)).to.deep.equal([200]);
        expect(problems).to.deep.equal(["broken"]);
    }

    it("answers that the outcome is unknown if the forwarder fails", () =>
        doTest(() => Promise.reject(new Error("broken")), [502, 200]));

    it("breaks a response off that had begun", async () => {
        await doTest(async reply => {
            reply.start({ status: 200, headers: [] });
            await reply.write(Buffer.from("part"));
            await failing!.waitForStatuses(1);
            throw new Error("broken");
        }, [200]);
        expect(failing?.hasEnded()).to.equal(true);
        expect(failing?.getText()).not.to.include("\r\n0\r\n");
    });

    it("leaves a response alone that was complete", () =>
        doTest(reply => {
            sendResponse(reply);
            throw new Error("broken");
        }, [200, 200]));

    it("answers that the request has not run if it fails before the forwarder gets it", () => {
        const table = createRouteTable(createTestDocument());
        let count = 0;
        const state = {
            getRouteTable: () => {
                count += 1;
                if (count === 2) {
                    throw new Error("broken");
                }
                return table;
            },
        } as unknown as FeedState;
        return doTest(sendResponse, [503, 200], state);
    });
});
