import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createFeedState } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { readClocks } from "../../src/membership";
import { FleetViewSchema, PollOutcome, PollResponseSchema } from "../../src/protocol";
import { createTestDocument } from "../documents/createTestDocument";
import { createManualClock } from "../support/createManualClock";
import { failFirst } from "../support/failFirst";
import { createTestFeedState, createTestInstance, decodeTestDocument, updateTestFeedState } from "./createTestFeed";

describe("createFeedState", () => {
    function createResponse(version: number, text?: string) {
        return create(PollResponseSchema, {
            outcome: PollOutcome.CURRENT,
            documentVersion: BigInt(version),
            document: Buffer.from(text ?? JSON.stringify(createTestDocument({ version }))),
        });
    }

    it("is empty at first, with an infinite document age", () => {
        const state = createFeedState({
            decode: decodeTestDocument,
            clock: createManualClock(),
            logger: createSilentLogger(),
        });
        expect([state.getRouteTable(), state.getFleet(), state.getDocumentAgeMilliseconds()])
            .to.deep.equal([undefined, undefined, Infinity]);
    });

    it("resolves the initial state once both a document and a fleet view have been received", async () => {
        const clock = createManualClock();
        const state = createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
        let isResolved = false;
        void state.waitForInitialState().then(() => isResolved = true);
        state.applyResponse(createResponse(1), readClocks(clock));
        await clock.advance(0);
        expect(isResolved).to.equal(false);
        const fleet = create(FleetViewSchema);
        state.applyResponse({ ...createResponse(1), fleetRevision: "1.1", fleet }, readClocks(clock));
        await clock.advance(0);
        expect(isResolved).to.equal(true);
    });

    it("ignores a lower version, which does not reset the document's age", async () => {
        const clock = createManualClock();
        const state = createTestFeedState(clock, [], { version: 5 });
        await clock.advance(700);
        state.applyResponse(createResponse(4), readClocks(clock));
        expect(state.getRouteTable()?.document.version).to.equal(5);
        expect(state.getDocumentAgeMilliseconds()).to.equal(700);
    });

    it("takes over nothing of a response that it can't take over in full, and confirms nothing", async () => {
        const clock = createManualClock();
        const decode = failFirst(1, decodeTestDocument);
        const state = createFeedState({ decode, clock, logger: createSilentLogger() });
        const fleet = create(FleetViewSchema, { instances: [createTestInstance()] });
        const response = { ...createResponse(1), fleetRevision: "1.1", fleet, entryCount: 9 };
        const confirmed = state.confirmFleet(500);
        expect(() => state.applyResponse(response, readClocks(clock))).to.throw("broken");
        expect([state.getRouteTable(), state.getFleet(), state.getFleetRevision(), state.getEntryCount()])
            .to.deep.equal([undefined, undefined, "", 1]);
        expect(state.getDocumentAgeMilliseconds()).to.equal(Infinity);
        await clock.advance(500);
        expect(await confirmed).to.equal(false);
        state.applyResponse(response, readClocks(clock));
        expect([state.getRouteTable()?.document.version, state.getFleetRevision(), state.getDocumentAgeMilliseconds()])
            .to.deep.equal([1, "1.1", 0]);
    });

    it("counts the document's age from the time at which the poll was sent", async () => {
        const clock = createManualClock();
        const state = createTestFeedState(clock, [], { version: 5 });
        const sendTime = readClocks(clock);
        await clock.advance(300);
        state.applyResponse(createResponse(6), sendTime);
        expect(state.getRouteTable()?.document.version).to.equal(6);
        expect(state.getDocumentAgeMilliseconds()).to.equal(300);
    });

    it("counts the time of a suspension, during which only the wall clock advances", async () => {
        const manualClock = createManualClock();
        let suspensionMilliseconds = 0;
        const clock = {
            ...manualClock,
            getWallMilliseconds: () => manualClock.getWallMilliseconds() + suspensionMilliseconds,
        };
        const state = createTestFeedState(clock, []);
        suspensionMilliseconds = 6_000;
        expect(state.getDocumentAgeMilliseconds()).to.equal(6_000);
    });

    it("keeps the current document if a newer one can't be decoded", () => {
        const clock = createManualClock();
        const state = createTestFeedState(clock, [], { version: 5 });
        state.applyResponse(createResponse(6, "{"), readClocks(clock));
        expect(state.getRouteTable()?.document.version).to.equal(5);
    });

    it("adds the time since the response to the ages of named weights", async () => {
        const clock = createManualClock();
        const targets = [{ model: "large", weightsVersion: 2, ageMilliseconds: 100 }];
        const state = createTestFeedState(clock, [createTestInstance()], {}, targets);
        await clock.advance(50);
        expect(state.getDesiredWeights("large")).to.deep.equal([{ weightsVersion: 2, ageMilliseconds: 150 }]);
        expect(state.getDesiredWeights("small")).to.deep.equal([]);
    });

    describe("confirmFleet", () => {
        function doTest(fleetRevision: string, isSentLater: boolean, expected: boolean) {
            return async () => {
                const clock = createManualClock();
                const state = createTestFeedState(clock, [createTestInstance()]);
                const formerTime = readClocks(clock);
                await clock.advance(1);
                const confirmed = state.confirmFleet(500);
                const response = create(PollResponseSchema, { outcome: PollOutcome.CURRENT, fleetRevision });
                state.applyResponse(response, isSentLater ? readClocks(clock) : formerTime);
                await clock.advance(500);
                expect(await confirmed).to.equal(expected);
            };
        }

        it("ends with a response to a later poll that names the revision", doTest("1.1", true, true));
        it("does not end with a response to an earlier poll", doTest("1.1", false, false));
        it("does not end with a response of a leader that has no list yet", doTest("", true, false));
        it("ends at once where the last confirmation is recent enough", async () => {
            const clock = createManualClock();
            const state = createTestFeedState(clock, []);
            await clock.advance(900);
            expect(await state.confirmFleet(0, 1_000)).to.equal(true);
        });
        it("asks its listeners for a poll", () => {
            const state = createTestFeedState(createManualClock(), []);
            let count = 0;
            state.addConfirmationListener(() => count += 1);
            void state.confirmFleet(500);
            expect(count).to.equal(1);
        });
    });

    it("keeps software versions that have left while callers resume their streams", async () => {
        const clock = createManualClock();
        const state = createTestFeedState(clock, [createTestInstance({ softwareVersion: "v1" })]);
        updateTestFeedState(state, clock, [createTestInstance({ softwareVersion: "v2" })]);
        expect(state.getSoftwareVersions("models")).to.deep.equal(["v1", "v2"]);
        await clock.advance(30_000);
        updateTestFeedState(state, clock, [createTestInstance({ softwareVersion: "v2" })]);
        expect(state.getSoftwareVersions("models")).to.deep.equal(["v2"]);
        expect(state.getSoftwareVersions("others")).to.deep.equal([]);
    });
});
