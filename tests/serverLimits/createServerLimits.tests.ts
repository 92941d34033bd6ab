import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import * as fc from "fast-check";
import { readClocks } from "../../src/membership";
import { FleetViewSchema, PollOutcome, PollResponseSchema } from "../../src/protocol";
import { RequestLimit } from "../../src/serverLimits";
import { createEmptyTestFeedState } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestServerLimits } from "./createTestServerLimits";

describe("createServerLimits", () => {
    const id = "engine-1";
    const limit = (requestsPerSecond: number): RequestLimit => ({ kind: "limited", requestsPerSecond });
    const none: RequestLimit = { kind: "none" };

    function createFixture(entryCount = 2) {
        const clock = createManualClock();
        const state = createEmptyTestFeedState(clock);
        state.getEntryCount = () => entryCount;
        const limits = createTestServerLimits(state, clock);
        return { clock, limits, receive, takeFor };

        function receive(requestsPerSecond: number, ageMilliseconds: number, holderIds: string[], holderCount = 1) {
            const shared = { instanceId: id, requestsPerSecond, ageMilliseconds, holderIds, holderCount };
            const fleet = create(FleetViewSchema, { limits: [shared] });
            const response = create(PollResponseSchema, { outcome: PollOutcome.CURRENT, fleet, fleetRevision: "1.1" });
            state.applyResponse(response, readClocks(clock));
        }

        /** Sends as much as possible; returns how much that is. */
        async function takeFor(milliseconds: number) {
            let taken = 0;
            for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
                taken += limits.tryTake(id) ? 1 : 0;
                await clock.advance(50);
            }
            return taken;
        }
    }

    it("allows any number without a limit", async () => {
        expect(await createFixture().takeFor(1_000)).to.equal(20);
    });

    it("takes an equal part of a limit that control members have not divided", async () => {
        const { limits, takeFor } = createFixture(2);
        limits.recordLimit(id, limit(2));
        expect(await takeFor(10_000)).to.be.within(9, 10);
    });

    it("takes its share where control members have divided the limit", async () => {
        const { receive, takeFor } = createFixture();
        receive(2, 0, ["entry-1"]);
        expect(await takeFor(10_000)).to.be.within(19, 20);
    });

    it("sends nothing where others share the limit", async () => {
        const { receive, takeFor } = createFixture();
        receive(2, 0, ["entry-9"]);
        expect(await takeFor(10_000)).to.equal(0);
    });

    it("follows a statement of its own that is newer than that of the control members", async () => {
        const { clock, limits, receive, takeFor } = createFixture();
        receive(2, 0, ["entry-1"]);
        await clock.advance(100);
        limits.recordLimit(id, none);
        expect(await takeFor(1_000)).to.equal(20);
    });

    it("follows the control members where their statement is newer", async () => {
        const { clock, limits, receive, takeFor } = createFixture();
        limits.recordLimit(id, limit(1));
        await clock.advance(1_000);
        receive(1, 2_000, [], 2);
        expect(await takeFor(500)).to.be.at.most(1);
        receive(0, 100, []);
        expect(await takeFor(1_000)).to.equal(20);
    });

    it("keeps the former limit after a malformed one", async () => {
        const { limits, takeFor } = createFixture(1);
        limits.recordLimit(id, limit(1));
        limits.recordLimit(id, { kind: "malformed", text: "x" });
        expect(await takeFor(4_000)).to.be.at.most(4);
    });

    it("tells the time until a request is possible", () => {
        const { limits } = createFixture(4);
        limits.recordLimit(id, limit(2));
        expect(limits.getWaitMilliseconds(id)).to.be.closeTo(2_000, 1);
    });

    it("returns a request that was not sent", async () => {
        const { clock, limits } = createFixture(1);
        limits.recordLimit(id, limit(1));
        await clock.advance(1_000);
        expect([limits.tryTake(id), limits.tryTake(id)]).to.deep.equal([true, false]);
        limits.giveBack(id);
        expect(limits.tryTake(id)).to.equal(true);
    });

    it("reports only statements that it has heard itself, and ends of limits for a minute", async () => {
        const { clock, limits, receive } = createFixture();
        receive(2, 0, []);
        expect(limits.getStatements()).to.deep.equal([]);
        await clock.advance(100);
        limits.recordLimit(id, none);
        expect(limits.getStatements().map(({ requestsPerSecond }) => requestsPerSecond)).to.deep.equal([0]);
        await clock.advance(60_001);
        expect(limits.getStatements()).to.deep.equal([]);
    });

    it("never exceeds its rate by more than one request, whatever is demanded", async () => {
        const pauses = fc.array(fc.integer({ min: 1, max: 3_000 }), { minLength: 5, maxLength: 40 });
        await fc.assert(
            fc.asyncProperty(fc.double({ min: 0.1, max: 20, noNaN: true }), pauses, async (rate, milliseconds) => {
                const { clock, limits } = createFixture(1);
                limits.recordLimit(id, limit(rate));
                const times: number[] = [];
                for (const pause of milliseconds) {
                    await clock.advance(pause);
                    while (limits.tryTake(id)) {
                        times.push(clock.getMonotonicMilliseconds());
                    }
                }
                for (const start of times) {
                    const count = times.filter(time => time >= start && time < start + 4_000).length;
                    expect(count).to.be.at.most(1 + 4 * rate + 0.001);
                }
            }),
            { seed: 24, numRuns: 100 },
        );
    });
});
