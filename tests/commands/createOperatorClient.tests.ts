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

    /** Starts a control member that behaves as told, the last way for good; gets its address and its count of calls. */
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

    /** Creates a clock whose pauses take no time, and whose attempts time out as soon as the far end has the call. */
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

    it("takes the first member's answer", async () => {
        const members = [await startMember(409), await startMember(200)];
        const answer = await send(members.map(member => member.address), post);
        expect(answer).to.deep.equal({ kind: "answered", status: 409, body: { behaviour: 409 } });
        expect(members[1]!.getRequestCount()).to.equal(0);
    });

    it("asks the next member where one knows no leader", async () => {
        const members = [await startMember(503), await startMember(200)];
        expect(await send(members.map(member => member.address), post)).to.include({ status: 200 });
    });

    it("asks again where none knows a leader yet", async () => {
        const member = await startMember(503, 503, 200);
        expect(await send([member.address], post)).to.include({ status: 200 });
    });

    it("gives the last answer at the deadline", async () => {
        expect(await send([(await startMember(503)).address], post)).to.include({ kind: "answered", status: 503 });
    });

    describe("lost answers", () => {
        async function doTest(
            call: OperatorCall,
            expectedCount: number,
            expected: Partial<OperatorCallOutcome>,
        ): Promise<void> {
            const member = await startMember("lost", 200);
            expect(await send([member.address], call)).to.include(expected);
            expect(member.getRequestCount()).to.equal(expectedCount);
        }

        it("repeat a question", () => doTest(get, 2, { kind: "answered", status: 200 }));
        it("repeat a change under an id", () =>
            doTest({ ...post, isRepeatable: true }, 2, { kind: "answered", status: 200 }));
        it("repeat nothing else", () => doTest(post, 1, { kind: "unreachable", mayHaveRun: true }));
    });

    describe("a change whose answer was lost", () => {
        async function doTest(first: Behaviour): Promise<void> {
            const member = await startMember(first, 503);
            const answer = await send([member.address], { ...post, isRepeatable: true });
            expect(answer).to.include({ kind: "unreachable", mayHaveRun: true });
        }

        it("is not said to be unmade since a later attempt was refused", () => doTest("lost"));
        it("nor where its outcome was unknown", () => doTest(504));
    });

    it("takes an answer that does not come in time for lost", async () => {
        const member = await startMember("hangs");
        const answer = await send([member.address], post, () => member.getRequestCount() > 0);
        expect(answer).to.deep.equal({
            kind: "unreachable",
            reason: `${member.address}: no answer in time`,
            mayHaveRun: true,
        });
    });

    it("tells that nothing was sent where no one listens", async () => {
        const member = await startMember(200);
        await new Promise(resolve => servers[0]!.close(resolve));
        expect(await send([member.address], post)).to.include({ kind: "unreachable", mayHaveRun: false });
    });
});
