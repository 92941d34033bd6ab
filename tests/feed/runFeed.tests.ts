import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createFeedState, PollResult, runFeed } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { PollOutcome, PollResponseSchema } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createTestDocument } from "../documents/createTestDocument";
import { createManualClock } from "../support/createManualClock";
import { decodeTestDocument } from "./createTestFeed";

describe("runFeed", () => {
    const seeds = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];

    /** Follows a group for a time; `answer` says what the member at an address answers. */
    async function follow(answer: (address: string) => PollResult, milliseconds: number) {
        const clock = createManualClock();
        const state = createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
        const stop = new AbortController();
        const polled: string[] = [];
        const task = runFeed({
            entryId: "entry-1",
            getSeedAddresses: () => seeds,
            client: {
                poll: async (address, request, timeoutMilliseconds) => {
                    polled.push(address);
                    const result = answer(address);
                    await clock.sleep(result.kind === "failed" ? timeoutMilliseconds : request.waitMilliseconds + 1);
                    return result;
                },
            },
            state,
            clock,
            random: createRandomSource(3),
            logger: createSilentLogger(),
            signal: stop.signal,
        });
        await clock.advance(milliseconds);
        stop.abort();
        await clock.advance(5_000);
        await task;
        return { state, polled };
    }

    const current: PollResult = {
        kind: "answered",
        response: create(PollResponseSchema, {
            outcome: PollOutcome.CURRENT,
            documentVersion: 1n,
            document: Buffer.from(JSON.stringify(createTestDocument())),
        }),
    };
    const elsewhere: PollResult = {
        kind: "answered",
        response: create(PollResponseSchema, { outcome: PollOutcome.NOT_LEADER, leaderAddress: "10.0.0.9:1" }),
    };
    const silent: PollResult = { kind: "failed", reason: "no answer" };

    it("stays with the member that answers", async () => {
        const { state, polled } = await follow(() => current, 2_000);
        expect(new Set(polled).size).to.equal(1);
        expect(state.getTable()?.document.version).to.equal(1);
    });

    it("follows the name of a leader that no seed names", async () => {
        const { polled } = await follow(address => address === "10.0.0.9:1" ? current : elsewhere, 2_000);
        expect(polled[1]).to.equal("10.0.0.9:1");
    });

    it("finds the one member that answers while the others are silent", async () => {
        const { state } = await follow(address => address === seeds[1] ? current : silent, 3_000);
        expect(state.getTable()?.document.version).to.equal(1);
    });

    it("turns back to the seeds where the named leader is gone", async () => {
        let isGone = true;
        const { state } = await follow(address => {
            if (address === "10.0.0.9:1") {
                isGone = false;
                return silent;
            }
            return isGone ? elsewhere : current;
        }, 4_000);
        expect(state.getTable()?.document.version).to.equal(1);
    });
});
