import { expect } from "chai";
import { AttemptResult, createForwarder } from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createRandomSource } from "../../src/runtime";
import { createServerLimits } from "../../src/serverLimits";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createTestPromptQuarantine } from "../promptQuarantine/createTestPromptQuarantine";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { createManualClock } from "../support/createManualClock";
import { createTestLink, createTestResponse } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("createForwarder, with a backend server that names a limit", () => {
    const limitedFromMilliseconds = 1_000;
    const intervalMilliseconds = 50;
    const windowMilliseconds = 4_000;
    const stableWindowMilliseconds = 3_000;

    interface TrafficOptions {
        requestsPerSecond: number;
        entryCount: number;
    }

    /** Sends 20 requests a second to three engines, of which the first names a limit from the first second on. */
    async function runTraffic({ requestsPerSecond, entryCount }: TrafficOptions) {
        const clock = createManualClock();
        const instances = ["engine-1", "engine-2", "engine-3"].map(instanceId => createTestInstance({ instanceId }));
        const arrivalTimes: number[] = [];
        const link = createTestLink(attempt => {
            const response = createTestResponse(["id: 1\ndata: x\n\n"]) as Extract<
                AttemptResult,
                { kind: "answered"; }
            >;
            const isLimited = attempt.instance.instanceId === "engine-1"
                && clock.getMonotonicMilliseconds() >= limitedFromMilliseconds;
            if (!isLimited) {
                return response;
            }
            arrivalTimes.push(clock.getMonotonicMilliseconds());
            return { ...response, requestLimit: { kind: "limited", requestsPerSecond } };
        });
        const state = createTestFeedState(clock, instances, { workspaces: undefined });
        state.getEntryCount = () => entryCount;
        const forwarders = Array.from({ length: entryCount }, (...[, index]) =>
            createForwarder({
                state,
                link,
                promptQuarantine: createTestPromptQuarantine({ state, link, clock }),
                serverLimits: createServerLimits({ logger: createSilentLogger() }),
                streamOrigins: createTestStreamOrigins(),
                kvCacheStores: { isReachable: () => false, hasPart: () => false },
                dataCentre: "west",
                signal: new AbortController().signal,
                maximumDocumentAgeMilliseconds: 3_500,
                supersededWeightsGraceMilliseconds: 10_000,
                retryShare: 0.2,
                retryReserve: 50,
                clock,
                random: createRandomSource(index),
                logger: createSilentLogger(),
                metrics: createMetrics(),
            }));
        let served = 0;
        let sent = 0;
        for (let count = 0; count < 400; count++) {
            const reply = createTestReply();
            const { prompt, ...request } = createTestRequest.createPrompt("/labels/1");
            const parts = [`a${count % 7}`, `d${count}`].map(id => ({ id, tokens: 100 }));
            void forwarders[count % entryCount]!.forward(
                createTestRequest({
                    ...request,
                    requestId: `request-${count}`,
                    prompt: { ...prompt!, parts },
                    arrivalMilliseconds: clock.getMonotonicMilliseconds(),
                }),
                reply,
            );
            await clock.advance(intervalMilliseconds);
            sent += 1;
            served += reply.getText().startsWith("200") ? 1 : 0;
        }
        return { served, sent, mostInWindow: getMostInWindow(arrivalTimes) };
    }

    function getMostInWindow(times: readonly number[]): number {
        const counted = times.filter(time => time >= limitedFromMilliseconds + stableWindowMilliseconds);
        const counts = counted.map(end =>
            counted.filter(time => time <= end && time > end - windowMilliseconds).length
        );
        return Math.max(0, ...counts);
    }

    it("sends it no more than its limit from all entry processes together", async () => {
        const { mostInWindow, served, sent } = await runTraffic({ requestsPerSecond: 1.1, entryCount: 5 });
        expect(mostInWindow).to.be.at.most(1.5 * 4 * 1.1 + 5);
        expect(served).to.equal(sent);
    });
});
