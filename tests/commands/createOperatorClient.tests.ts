import { expect } from "chai";
import { createServer, Server } from "node:http";
import { AddressInfo } from "node:net";
import { createOperatorClient, OperatorCall, OperatorCallOutcome } from "../../src/commands";
import { Clock } from "../../src/runtime";

type Behaviour = "lost" | "hangs" | number;

describe("createOperatorClient", () => {
    let servers: Server[];
    beforeEach(() => servers = []);
    afterEach(() =>
        Promise.all(servers.map(server => {
            server.closeAllConnections();
            return new Promise(resolve => server.close(resolve));
        }))
    );

    /** Starts a control member that applies one behaviour to each request, and repeats the last one. */
    async function startMember(
        ...behaviours: Behaviour[]
    ): Promise<{ address: string; getRequestCount: () => number; }> {
        let requestCount = 0;
        const server = createServer((request, response) => {
            const behaviour = behaviours[Math.min(requestCount, behaviours.length - 1)]!;
            requestCount++;
            request.resume();
            request.on("end", () => {
                if (behaviour === "lost") {
                    request.socket.destroy();
                }
                else if (behaviour !== "hangs") {
                    response.writeHead(behaviour).end(JSON.stringify({ behaviour }));
                }
            });
        });
        servers.push(server);
        await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
        return {
            address: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
            getRequestCount: () => requestCount,
        };
    }

    /** Creates a clock whose pauses take no time, and whose attempts time out once `hasTimedOut` returns true. */
    function createTestClock(hasTimedOut: () => boolean): Clock {
        let nowMilliseconds = 0;
        return { getWallMilliseconds: () => nowMilliseconds, getMonotonicMilliseconds: () => nowMilliseconds, sleep };

        async function sleep(milliseconds: number, signal?: AbortSignal): Promise<void> {
            if (signal === undefined) {
                nowMilliseconds += milliseconds;
                return;
            }
            while (!signal.aborted && !hasTimedOut()) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    }

    async function send(
        addresses: readonly string[],
        call: OperatorCall,
        hasTimedOut = (): boolean => false,
    ): Promise<OperatorCallOutcome> {
        const clock = createTestClock(hasTimedOut);
        const client = createOperatorClient({ addresses, token: "token", timeoutMilliseconds: 1_000, clock });
        const outcome = await client.send(call);
        await client.stop();
        return outcome;
    }

    const get: OperatorCall = { method: "GET", path: "/x" };
    const post: OperatorCall = { method: "POST", path: "/x", body: {} };

    it("returns the first member's response", async () => {
        const members = [await startMember(409), await startMember(200)];
        const response = await send(members.map(member => member.address), post);
        expect(response).to.deep.equal({ kind: "answered", status: 409, body: { behaviour: 409 } });
        expect(members[1]!.getRequestCount()).to.equal(0);
    });

    it("tries the next member when one has no leader", async () => {
        const members = [await startMember(503), await startMember(200)];
        expect(await send(members.map(member => member.address), post)).to.include({ status: 200 });
    });

    it("retries when no member has a leader yet", async () => {
        const member = await startMember(503, 503, 200);
        expect(await send([member.address], post)).to.include({ status: 200 });
    });

    it("returns the last response at the deadline", async () => {
        expect(await send([(await startMember(503)).address], post)).to.include({ kind: "answered", status: 503 });
    });

    describe("after a lost response", () => {
        async function doTest(
            call: OperatorCall,
            expectedCount: number,
            expected: Partial<OperatorCallOutcome>,
        ): Promise<void> {
            const member = await startMember("lost", 200);
            expect(await send([member.address], call)).to.include(expected);
            expect(member.getRequestCount()).to.equal(expectedCount);
        }

        it("repeats a GET", () => doTest(get, 2, { kind: "answered", status: 200 }));
        it("repeats a repeatable change", () =>
            doTest({ ...post, isRepeatable: true }, 2, { kind: "answered", status: 200 }));
        it("repeats no other call", () => doTest(post, 1, { kind: "unreachable", mayHaveRun: true }));
    });

    describe("a change that may have run", () => {
        async function doTest(first: Behaviour): Promise<void> {
            const member = await startMember(first, 503);
            const response = await send([member.address], { ...post, isRepeatable: true });
            expect(response).to.include({ kind: "unreachable", mayHaveRun: true });
        }

        it("stays unknown when a later attempt is refused after a lost response", () => doTest("lost"));
        it("stays unknown when a later attempt is refused after a response with an unknown outcome", () => doTest(504));
    });

    it("treats a response that does not arrive in time as lost", async () => {
        const member = await startMember("hangs");
        const response = await send([member.address], post, () => member.getRequestCount() > 0);
        expect(response).to.deep.equal({
            kind: "unreachable",
            reason: `${member.address}: no response in time`,
            mayHaveRun: true,
        });
    });

    it("reports that nothing was sent when no server listens", async () => {
        const member = await startMember(200);
        await new Promise(resolve => servers[0]!.close(resolve));
        expect(await send([member.address], post)).to.include({ kind: "unreachable", mayHaveRun: false });
    });
});
