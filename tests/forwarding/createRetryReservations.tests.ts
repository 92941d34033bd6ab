import { expect } from "chai";
import { AttemptResult, BackendAttempt } from "../../src/forwarding";
import { createMetrics } from "../../src/metrics";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createTestServerLimits } from "../serverLimits/createTestServerLimits";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
import { createTestLink, createTestResponse, overloadedResult } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("requests with a single retry in the budget", () => {
    const createAnswer = () => createTestResponse(["done"]);
    const unreachable: AttemptResult = { kind: "notSent", reason: "the connection timed out" };
    const never = new Promise<AttemptResult>(() => undefined);

    interface Options {
        respond(attempt: BackendAttempt, number: number): AttemptResult | Promise<AttemptResult>;
        /** The calls of tryTake, counted from 0, before which another request has used a server's limit up. */
        usedUpCalls?: readonly number[];
        /** Returns whether a server answers probes. */
        answersProbe?(instanceId: string): boolean;
    }

    function createFixture({ respond, usedUpCalls = [], answersProbe = () => true }: Options) {
        const clock = createManualClock();
        const instances = ["actions-1", "actions-2", "actions-3", "actions-4"].map(instanceId =>
            createTestInstance({ instanceId, service: "actions", weights: [] })
        );
        const state = createTestFeedState(clock, instances);
        const link = createTestLink(respond, answersProbe);
        const serverLimits = createTestServerLimits(state, clock);
        const metrics = createMetrics();
        let callCount = -1;
        const forwarder = createTestForwarder(state, link, clock, {
            retryShare: 1e-6,
            retryReserve: 1.25,
            metrics,
            serverLimits: {
                ...serverLimits,
                tryTake: instanceId => {
                    callCount += 1;
                    return !usedUpCalls.includes(callCount) && serverLimits.tryTake(instanceId);
                },
            },
        });
        return { clock, link, forward, getRetryMetrics };

        async function getRetryMetrics(): Promise<readonly string[]> {
            const names = /^basilwing_(sent_retries_total|refused_retries_total|saved_retries|entry_processes)\b/;
            return (await metrics.getText()).split("\n").filter(line => names.test(line)).sort();
        }

        async function forward(requestId = "request-1"): Promise<string | undefined> {
            const reply = createTestReply();
            void forwarder.forward(
                createTestRequest({ requestId, arrivalMilliseconds: clock.getMonotonicMilliseconds() }),
                reply,
            );
            await clock.advance(1_500);
            return reply.getRefusal()?.kind ?? reply.getText();
        }
    }

    async function doTest(options: Options, expected: readonly (string | undefined)[]) {
        const { forward } = createFixture(options);
        const outcomes: (string | undefined)[] = [];
        for (let count = 0; count < expected.length; count++) {
            outcomes.push(await forward(`request-${count}`));
        }
        expect(outcomes).to.deep.equal(expected);
    }

    it("need no second one where another request has just used the chosen server's limit up", () =>
        doTest({ respond: (...[, number]) => number < 1 ? overloadedResult : createAnswer(), usedUpCalls: [1, 2] }, [
            "200 done whole",
        ]));

    it("need no second one after a server that could not be reached", () =>
        doTest({ respond: (...[, number]) => [overloadedResult, unreachable, createAnswer()][number]! }, [
            "200 done whole",
        ]));

    it("leave it to the next request where none of the servers could be reached for it", () =>
        doTest(
            {
                respond: (...[, number]) =>
                    [
                        overloadedResult,
                        unreachable,
                        unreachable,
                        unreachable,
                        overloadedResult,
                        createAnswer(),
                    ][number]!,
            },
            ["notRun", "200 done whole"],
        ));

    it("use it up with an attempt that was sent", () =>
        doTest({ respond: () => overloadedResult }, ["notRun", "notRun"]));

    it("keep the retry of a hedge whose server's limit another request has just used up", async () => {
        let silentId: string | undefined;
        const { link, forward } = createFixture({
            respond: ({ instance: { instanceId } }) => {
                silentId ??= instanceId;
                return instanceId === silentId ? never : createAnswer();
            },
            usedUpCalls: [1],
            answersProbe: instanceId => instanceId !== silentId,
        });
        expect([await forward(), link.attempts.length]).to.deep.equal(["200 done whole", 2]);
    });

    it("is counted by service, as are the requests that find none left", async () => {
        const { forward, getRetryMetrics } = createFixture({ respond: () => overloadedResult });
        await forward("request-1");
        await forward("request-2");
        expect(await getRetryMetrics()).to.deep.equal([
            "basilwing_entry_processes 1",
            "basilwing_refused_retries_total{service=\"actions\"} 2",
            "basilwing_saved_retries 8e-7",
            "basilwing_sent_retries_total{service=\"actions\"} 1",
        ]);
    });
});
