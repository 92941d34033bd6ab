import { expect } from "chai";
import { AddressInfo } from "node:net";
import { setTimeout } from "node:timers/promises";
import { CallerServer, startCallerServer } from "../../../platform/callers";
import { createPlannedStop } from "../../../src/forwarding";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { createSystemClock } from "../../../src/runtime";
import { createTestFeedState } from "../../feed/createTestFeed";
import { runCallersThatLeave } from "../../support/runCallersThatLeave";

describe("startCallerServer, to callers that leave while the process is busy", () => {
    let callerServer: CallerServer | undefined;
    let endCallers: (() => Promise<unknown>) | undefined;
    afterEach(async () => {
        await endCallers?.();
        callerServer?.server.closeAllConnections();
        callerServer?.server.close();
    });

    async function doTest(counts: { leavingCount: number; stayingCount: number; }, isKept: boolean): Promise<void> {
        const startedIds: string[] = [];
        const clock = createSystemClock();
        callerServer = await startCallerServer({
            address: "127.0.0.1:0",
            forwarder: {
                forward: async ({ requestId, signal }, reply) => {
                    if (requestId !== "earlier" && !signal.aborted) {
                        startedIds.push(requestId);
                    }
                    reply.send({ status: 200, headers: [] }, Buffer.from("ok"));
                    await Promise.resolve();
                },
                getActiveCount: () => 0,
                reportLoads: () => undefined,
            },
            state: createTestFeedState(clock, []),
            plannedStop: createPlannedStop(clock),
            clock,
            metrics: createMetrics(),
            logger: createSilentLogger(),
        });
        const { port } = callerServer.server.address() as AddressInfo;
        const head = "GET /reads/1 HTTP/1.1\r\nhost: one.example\r\nbasilwing-request-id: ID\r\n\r\n";
        endCallers = await runCallersThatLeave({ port, ...counts, isKept, head });
        while (startedIds.filter(id => id.startsWith("staying")).length < counts.stayingCount) {
            await setTimeout(10);
        }
        expect(startedIds.filter(id => id.startsWith("leaving"))).to.deep.equal([]);
    }

    it("starts none of their requests that waited in connections that were not accepted yet", () =>
        doTest({ leavingCount: 60, stayingCount: 3 }, false));

    it("starts none of their requests that were sent on kept connections", () =>
        doTest({ leavingCount: 60, stayingCount: 3 }, true));
});
