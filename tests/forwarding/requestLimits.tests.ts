import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createDocumentState } from "../../src/documents";
import { createFleetTracker } from "../../src/fleet";
import {
    AttemptResult,
    createForwarder,
    createPlannedStop,
    createPromptDescriptor,
    Refusal,
} from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { readClocks } from "../../src/membership";
import { createMetrics } from "../../src/metrics";
import { PollOutcome, PollResponseSchema, RefusalReason } from "../../src/protocol";
import { createNodeRanking } from "../../src/routing";
import { createRandomSource } from "../../src/runtime";
import { createLimitLedger } from "../../src/serverLimits";
import { createTestCrashQuarantine } from "../crashQuarantine/createTestCrashQuarantine";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestFeedState, createTestInstance } from "../feed/createTestFeed";
import { createTestServerLimits } from "../serverLimits/createTestServerLimits";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { createManualClock } from "../support/createManualClock";
import { unlimitedQuotas } from "../workspaceQuotas/unlimitedQuotas";
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
        /** Whether the entry processes have contact to control. */
        hasControl?: boolean;
        /** When the engine names no limit any more. */
        limitedUntilMilliseconds?: number;
        /** Whether all engines name the limit. */
        areAllLimited?: boolean;
    }

    /** Sends 20 requests a second to three engines, of which the first names a limit from the first second on. */
    async function runTraffic(options: TrafficOptions) {
        const { requestsPerSecond, entryCount, limitedUntilMilliseconds = Infinity } = options;
        const clock = createManualClock();
        const instances = ["engine-1", "engine-2", "engine-3"].map(instanceId => createTestInstance({ instanceId }));
        const arrivalTimes: number[] = [];
        const link = createTestLink(attempt => {
            const response = createTestResponse(["id: 1\ndata: x\n\n"]) as Extract<
                AttemptResult,
                { kind: "answered"; }
            >;
            if (attempt.instance.instanceId === "engine-1") {
                arrivalTimes.push(clock.getMonotonicMilliseconds());
            }
            const isLimited = (options.areAllLimited || attempt.instance.instanceId === "engine-1")
                && clock.getMonotonicMilliseconds() >= limitedFromMilliseconds
                && clock.getMonotonicMilliseconds() < limitedUntilMilliseconds;
            return isLimited ? { ...response, requestLimit: { kind: "limited", requestsPerSecond } } : response;
        });
        const entries = Array.from({ length: entryCount }, (...[, index]) => {
            const state = createTestFeedState(clock, instances, { workspaces: undefined });
            state.getEntryCount = () => entryCount;
            const serverLimits = createTestServerLimits(state, clock, `entry-${index}`);
            const forwarder = createForwarder({
                plannedStop: createPlannedStop(clock),
                pollConnections: () => Promise.resolve(),
                facts: createTestFactStore(clock),
                state,
                link,
                crashQuarantine: createTestCrashQuarantine({ state, link, clock }),
                serverLimits,
                streamOrigins: createTestStreamOrigins(),
                workspaceQuotas: unlimitedQuotas,
                kvCacheStores: { isReachable: () => false, hasPart: () => false },
                dataCentre: "west",
                signal: new AbortController().signal,
                maximumDocumentAgeMilliseconds: 3_500,
                supersededWeightsGraceMilliseconds: 10_000,
                retryShare: 0.2,
                retryReserve: 50,
                retryWindowMilliseconds: 0,
                clock,
                random: createRandomSource(index),
                logger: createSilentLogger(),
                metrics: createMetrics(),
            });
            return { state, serverLimits, forwarder, entryId: `entry-${index}` };
        });
        const ledger = createLimitLedger(clock, createNodeRanking());
        const tracker = createFleetTracker(createDocumentState(), clock, () => undefined);
        tracker.setInstances(instances);
        const refusals: Refusal[] = [];
        let served = 0;
        let sent = 0;
        for (let count = 0; count < 400; count++) {
            if (options.hasControl && count % 8 === 0) {
                pollControl();
            }
            const reply = createTestReply();
            const { prompt, ...request } = createTestRequest.createPrompt("/labels/1");
            const parts = [`a${count % 7}`, `d${count}`].map(id => ({ id, tokens: 100 }));
            void entries[count % entryCount]!.forwarder.forward(
                createTestRequest({
                    ...request,
                    requestId: `request-${count}`,
                    prompt: createPromptDescriptor({ ...prompt!, parts }),
                    arrivalMilliseconds: clock.getMonotonicMilliseconds(),
                }),
                reply,
            );
            await clock.advance(intervalMilliseconds);
            sent += 1;
            served += reply.getText().startsWith("200") ? 1 : 0;
            refusals.push(...[reply.getRefusal()].filter(refusal => refusal !== undefined));
        }
        const limitedTimes = arrivalTimes.filter(time => time < limitedUntilMilliseconds);
        const laterCount = arrivalTimes.length - limitedTimes.length;
        return { served, sent, refusals, laterCount, mostInWindow: getMostInWindow(limitedTimes) };

        function pollControl(): void {
            entries.forEach(({ serverLimits }) => serverLimits.getStatements().forEach(ledger.addStatement));
            tracker.setServerLimits(ledger.getSharedLimits(entries.map(({ entryId }) => entryId)));
            const fleet = tracker.getView();
            for (const { state } of entries) {
                const response = { outcome: PollOutcome.CURRENT, fleet, fleetRevision: tracker.getRevision() };
                state.applyResponse(create(PollResponseSchema, response), readClocks(clock));
            }
        }
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

    async function doTest(options: TrafficOptions, minimumInWindow: number) {
        const { mostInWindow, served, sent } = await runTraffic({ ...options, hasControl: true });
        expect(mostInWindow).to.be.within(minimumInWindow, 1.5 * 4 * options.requestsPerSecond + 5);
        expect(served).to.equal(sent);
    }

    it("shares the limit among entry processes that follow control", () =>
        doTest({ requestsPerSecond: 1.1, entryCount: 5 }, 4));
    it("lets a few of many entry processes share a small limit", () =>
        doTest({ requestsPerSecond: 1.1, entryCount: 40 }, 2));
    it("lets one entry process use a whole limit", () => doTest({ requestsPerSecond: 3, entryCount: 1 }, 10));

    it("sends without a limit again once it names none", async () => {
        const { laterCount } = await runTraffic({
            requestsPerSecond: 1,
            entryCount: 5,
            hasControl: true,
            limitedUntilMilliseconds: 8_000,
        });
        expect(laterCount).to.be.at.least(40);
    });

    it("refuses at once, with the time until a request is possible, where all backend servers are limited", async () => {
        const { served, sent, refusals } = await runTraffic({
            requestsPerSecond: 1,
            entryCount: 5,
            hasControl: true,
            areAllLimited: true,
        });
        expect(refusals.length + served).to.equal(sent);
        expect(refusals.every(refusal => refusal.kind === "notRun" && refusal.reason === RefusalReason.OVERLOADED))
            .to.equal(true);
        const delays = refusals.map(refusal => refusal.kind === "notRun" ? refusal.retryAfterMilliseconds : 0);
        expect(Math.min(...delays)).to.be.greaterThan(0);
        expect(Math.max(...delays)).to.be.at.most(2 * 5_000);
    });
});
