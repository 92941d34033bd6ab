import { expect } from "chai";
import type { Socket } from "node:net";
import { createBackendLink } from "../../../platform/backends";
import { AttemptResult } from "../../../src/forwarding";
import { createTestInstance } from "../../feed/createTestFeed";
import { createTestRequest } from "../../forwarding/createTestRequest";
import { RawServer, startRawServer } from "../startRawServer";

describe("createBackendLink, while the maximum number of connections changes", () => {
    const link = createBackendLink();
    const waiting = new Map<string, Socket>();
    let server: RawServer;
    let requestCount = 0;

    beforeEach(async () => {
        server = await startRawServer((socket, request) => {
            waiting.set(/Basilwing-Request-Id: (\S+)/.exec(request)![1]!, socket);
        });
    });
    afterEach(() => server.stop());
    after(() => link.stop());

    function send(maximumConnections: number): { requestId: string; result: Promise<AttemptResult>; } {
        requestCount += 1;
        const requestId = `request-${requestCount}`;
        const result = link.send({
            request: createTestRequest({
                requestId,
                headers: ["Host", "one.example", "Basilwing-Request-Id", requestId],
            }),
            instance: createTestInstance({ address: server.address }),
            maximumConnections,
            workspace: undefined,
            remainingMilliseconds: 10_000,
            priority: 0,
            cache: { kind: "private", salt: "salt" },
            lastEventId: undefined,
            signal: new AbortController().signal,
            goneSignal: new AbortController().signal,
            onActivity: () => undefined,
        });
        return { requestId, result };
    }

    /** Answers requests, and reads their responses; returns the bodies of those that are complete. */
    async function answer(sent: readonly ReturnType<typeof send>[]): Promise<readonly string[]> {
        return Promise.all(sent.map(async ({ requestId, result }) => {
            while (!waiting.has(requestId)) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
            const head = `Basilwing-Request-Id: ${requestId}\r\nBasilwing-Response-Seal: seal\r\nContent-Length: 4`;
            waiting.get(requestId)!.write(`HTTP/1.1 200 OK\r\n${head}\r\n\r\ndone`);
            const response = await result;
            let text = "";
            if (response.kind === "answered") {
                for await (const chunk of response.body) {
                    text += Buffer.from(chunk).toString();
                }
            }
            return response.kind === "answered" && response.isComplete() ? text : response.kind;
        }));
    }

    function doRefusalTest(openCount: number, maximumConnections: number) {
        it(`refuses at once, not sent, beside ${openCount} requests and with ${maximumConnections}, and cuts none`, async () => {
            const open = Array.from({ length: openCount }, () => send(openCount));
            const refused = await Promise.race([
                send(maximumConnections).result,
                new Promise<undefined>(resolve => setImmediate(() => resolve(undefined))),
            ]);
            const reason = "all connections are in use";
            expect(refused).to.deep.equal({ kind: "notSent", reason, isServerSound: true });
            expect(await answer(open)).to.deep.equal(open.map(() => "done"));
        });
    }

    doRefusalTest(0, 0);
    doRefusalTest(3, 0);
    doRefusalTest(3, 1);
    doRefusalTest(3, 3);

    function doSendingTest(openCount: number, maximumConnections: number) {
        it(`sends beside ${openCount} requests and with ${maximumConnections}`, async () => {
            const sent = [...Array.from({ length: openCount }, () => send(openCount)), send(maximumConnections)];
            expect(await answer(sent)).to.deep.equal(sent.map(() => "done"));
        });
    }

    doSendingTest(0, 0.5);
    doSendingTest(3, 4);
    doSendingTest(3, 1e308);
    doSendingTest(3, Infinity);
});
