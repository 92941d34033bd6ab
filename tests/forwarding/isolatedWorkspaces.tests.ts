import { expect } from "chai";
import { BackendAttempt } from "../../src/forwarding";
import { createEmptyTestFeedState, createTestInstance, updateTestFeedState } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestForwarder } from "./createTestForwarder";
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
        const forwarder = createTestForwarder(state, link, clock);
        return { clock, link, setIsolated, forward };

        function setIsolated(version: number, isolatedNames: readonly string[]): void {
            const workspaces = ["alpha", "beta"].map(name => ({
                name,
                apiKeys: [`${name}-key`],
                priority: 1,
                isIsolated: isolatedNames.includes(name),
                quota: undefined,
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
        return attempts.filter(attempt => attempt.workspace === name).map(attempt => attempt.cache.salt);
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
