import { expect } from "chai";
import { BackendAttempt, createForwarder } from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createRandomSource } from "../../src/runtime";
import { createTestCrashQuarantine } from "../crashQuarantine/createTestCrashQuarantine";
import { createTestFactStore } from "../facts/createTestFacts";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createTestServerLimits } from "../serverLimits/createTestServerLimits";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { createManualClock } from "../support/createManualClock";
import { createTestLink, createTestResponse, overloadedResult } from "./createTestLink";
import { createTestReply } from "./createTestReply";
import { createTestRequest } from "./createTestRequest";

describe("createForwarder, when a workspace becomes isolated", () => {
    function createTrial(isFirstOverloaded: boolean) {
        const clock = createManualClock();
        const state = createEmptyTestFeedState(clock);
        const link = createTestLink(async (...[, number]) => {
            await clock.sleep(100);
            return isFirstOverloaded && number === 0 ? overloadedResult : createTestResponse(["id: 1\ndata: x\n\n"]);
        });
        setIsolated(1, []);
        const forwarder = createForwarder({
            pollConnections: () => Promise.resolve(),
            facts: createTestFactStore(clock),
            state,
            link,
            streamOrigins: createTestStreamOrigins(),
            crashQuarantine: createTestCrashQuarantine({ state, link, clock }),
            serverLimits: createTestServerLimits(state, clock),
            kvCacheStores: { isReachable: () => false, hasPart: () => false },
            dataCentre: "west",
            signal: new AbortController().signal,
            maximumDocumentAgeMilliseconds: 3_500,
            supersededWeightsGraceMilliseconds: 10_000,
            retryShare: 0.2,
            retryReserve: 50,
            clock,
            random: createRandomSource(1),
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        return { clock, link, setIsolated, forward };

        function setIsolated(version: number, isolatedNames: readonly string[]): void {
            const workspaces = ["alpha", "beta"].map(name => ({
                name,
                apiKeys: [`${name}-key`],
                priority: 1,
                isIsolated: isolatedNames.includes(name),
            }));
            const engines = ["engine-1", "engine-2"].map(instanceId => createTestInstance({ instanceId }));
            updateTestFeedState(state, clock, engines, { version, workspaces });
        }

        function forward(name: string): Promise<void> {
            return forwarder.forward(
                createTestRequest({
                    ...createTestRequest.createPrompt("/labels/1"),
                    requestId: `request of ${name}`,
                    apiKey: `${name}-key`,
                    arrivalMilliseconds: clock.getMonotonicMilliseconds(),
                }),
                createTestReply(),
            );
        }
    }

    function getSalts(attempts: readonly BackendAttempt[], name: string): readonly (string | undefined)[] {
        return attempts.filter(attempt => attempt.workspace === name).map(attempt => attempt.cacheSalt);
    }

    // Review, case 4: parts that were cached before a workspace was isolated were found by others.
    it("does not send requests of others under the salt of what it cached before", async () => {
        const { clock, link, setIsolated, forward } = createTrial(false);
        const first = forward("alpha");
        await clock.advance(200);
        await first;
        setIsolated(2, ["alpha"]);
        const second = forward("beta");
        await clock.advance(200);
        await second;
        const [alphaSalt] = getSalts(link.attempts, "alpha");
        expect(alphaSalt).to.be.a("string");
        expect(getSalts(link.attempts, "beta")).to.have.length(1).and.to.not.include(alphaSalt);
    });

    // The same for a request that was admitted before and is sent again afterwards.
    it("sends requests that were admitted before under their new salts", async () => {
        const { clock, link, setIsolated, forward } = createTrial(true);
        const request = forward("alpha");
        await clock.advance(50);
        setIsolated(2, ["alpha"]);
        await clock.advance(200);
        await request;
        const [formerSalt, laterSalt] = getSalts(link.attempts, "alpha");
        expect(laterSalt).to.be.a("string").and.to.not.equal(formerSalt);
    });
});
