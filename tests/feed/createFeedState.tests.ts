import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createFeedState } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { readStopwatch } from "../../src/membership";
import { FleetViewSchema, PollOutcome, PollResponseSchema } from "../../src/protocol";
import { createTestDocument } from "../documents/createTestDocument";
import { createManualClock } from "../support/createManualClock";
import { createTestFeedState, createTestInstance, decodeTestDocument } from "./createTestFeed";

describe("createFeedState", () => {
    function createAnswer(version: number, text?: string) {
        return create(PollResponseSchema, {
            outcome: PollOutcome.CURRENT,
            documentVersion: BigInt(version),
            document: Buffer.from(text ?? JSON.stringify(createTestDocument({ version }))),
        });
    }

    it("knows nothing at first, and its age has no end", () => {
        const state = createFeedState({
            decode: decodeTestDocument,
            clock: createManualClock(),
            logger: createSilentLogger(),
        });
        expect([state.getTable(), state.getFleet(), state.getDocumentAgeMilliseconds()])
            .to.deep.equal([undefined, undefined, Infinity]);
    });

    it("tells once both a document and a fleet are known", async () => {
        const clock = createManualClock();
        const state = createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
        let isKnown = false;
        void state.waitForInitialState().then(() => isKnown = true);
        state.applyResponse(createAnswer(1), readStopwatch(clock));
        await clock.advance(0);
        expect(isKnown).to.equal(false);
        const fleet = create(FleetViewSchema);
        state.applyResponse({ ...createAnswer(1), fleetRevision: "1.1", fleet }, readStopwatch(clock));
        await clock.advance(0);
        expect(isKnown).to.equal(true);
    });

    it("never goes back to a lower version, nor counts an answer with one as fresh", async () => {
        const clock = createManualClock();
        const state = createTestFeedState(clock, [], { version: 5 });
        await clock.advance(700);
        state.applyResponse(createAnswer(4), readStopwatch(clock));
        expect(state.getTable()?.document.version).to.equal(5);
        expect(state.getDocumentAgeMilliseconds()).to.equal(700);
    });

    it("counts its age from the sending of the poll", async () => {
        const clock = createManualClock();
        const state = createTestFeedState(clock, [], { version: 5 });
        const sent = readStopwatch(clock);
        await clock.advance(300);
        state.applyResponse(createAnswer(6), sent);
        expect(state.getTable()?.document.version).to.equal(6);
        expect(state.getDocumentAgeMilliseconds()).to.equal(300);
    });

    it("counts the time of a suspension, in which only the wall clock goes on", async () => {
        const manual = createManualClock();
        let suspended = 0;
        const clock = { ...manual, getWallMilliseconds: () => manual.getWallMilliseconds() + suspended };
        const state = createTestFeedState(clock, []);
        suspended = 6_000;
        expect(state.getDocumentAgeMilliseconds()).to.equal(6_000);
    });

    it("keeps what it holds where a document can't be read", () => {
        const clock = createManualClock();
        const state = createTestFeedState(clock, [], { version: 5 });
        state.applyResponse(createAnswer(6, "{"), readStopwatch(clock));
        expect(state.getTable()?.document.version).to.equal(5);
    });

    it("lets the age of named weights go on", async () => {
        const clock = createManualClock();
        const targets = [{ model: "large", weightsVersion: 2, ageMilliseconds: 100 }];
        const state = createTestFeedState(clock, [createTestInstance()], {}, targets);
        await clock.advance(50);
        expect(state.getWantedWeights("large")).to.deep.equal([{ weightsVersion: 2, ageMilliseconds: 150 }]);
        expect(state.getWantedWeights("small")).to.deep.equal([]);
    });
});
