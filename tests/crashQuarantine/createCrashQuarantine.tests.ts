import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { crashFactKind, InstanceState, LossCause, requestSubjectPrefix, RunSubjects } from "../../src/crashQuarantine";
import { createFeedState } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { readClocks } from "../../src/membership";
import { FleetViewSchema, PollResponseSchema } from "../../src/protocol";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestInstance, decodeTestDocument } from "../feed/createTestFeed";
import { createManualClock } from "../support/createManualClock";
import { createTestCrashQuarantine } from "./createTestCrashQuarantine";
import { createTestSubjects } from "./createTestSubjects";
import { testServices } from "./testServices";

describe("createCrashQuarantine", () => {
    function createFixture() {
        const clock = createManualClock();
        const state = createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
        const link = { checkInstance: () => Promise.resolve(InstanceState.Refusing) };
        const facts = createTestFactStore(clock);
        const quarantine = createTestCrashQuarantine({ state, link, clock, facts });
        return { clock, facts, quarantine, receive, beginRun, lose, crash };

        function receive(quarantinedSubjects: string[], suspectedSubjects: string[] = []) {
            const fleet = create(FleetViewSchema, { quarantinedSubjects, suspectedSubjects });
            const document = createTestDocument();
            const response = create(PollResponseSchema, {
                documentVersion: BigInt(document.version),
                document: Buffer.from(JSON.stringify(document)),
                fleetRevision: "1.1",
                fleet,
            });
            state.applyResponse(response, readClocks(clock));
        }

        function beginRun(instanceId: string, subjects: RunSubjects) {
            return quarantine.beginRun(createTestInstance({ instanceId }), testServices.engine, subjects);
        }

        /** Crashes an engine under requests whose responses have begun or not, and waits for 500 ms. */
        async function lose(instanceId: string, partIds: string[], hasBegun = true) {
            const run = beginRun(instanceId, createTestSubjects(partIds));
            if (hasBegun) {
                run.recordBegin();
            }
            run.lose(LossCause.Connection);
            await clock.advance(500);
        }

        /** Crashes engines under a part, one each 500 ms. */
        async function crash(count: number) {
            for (let index = 0; index < count; index++) {
                const run = beginRun(`engine-${index}`, createTestSubjects(["first", "bad"]));
                run.recordBegin();
                run.lose(LossCause.Connection);
                beginRun("engine-x", createTestSubjects(["first"])).complete();
                await clock.advance(500);
            }
        }
    }

    it("applies the decisions of the control members", () => {
        const { quarantine, receive } = createFixture();
        receive(["bad"], ["maybe"]);
        expect(
            ["bad", "maybe", "good"].map(
                id => [
                    quarantine.isQuarantined(createTestSubjects([id, "x"])),
                    quarantine.isSuspected(createTestSubjects([id])),
                ],
            ),
        )
            .to.deep.equal([[true, false], [false, true], [false, false]]);
        receive([]);
        expect([
            quarantine.isQuarantined(createTestSubjects(["bad"])),
            quarantine.isSuspected(createTestSubjects(["maybe"])),
        ]).to.deep.equal([false, false]);
    });

    it("computes the digest of a request only if requests are quarantined or suspected", () => {
        const { quarantine, receive } = createFixture();
        let digestCount = 0;
        const subjects = {
            partIds: [],
            getRequestSubjectId: () => {
                digestCount += 1;
                return `${requestSubjectPrefix}bad`;
            },
        };
        receive(["part"], ["other"]);
        expect([quarantine.isQuarantined(subjects), quarantine.isSuspected(subjects), digestCount])
            .to.deep.equal([false, false, 0]);
        receive([`${requestSubjectPrefix}bad`]);
        expect([quarantine.isQuarantined(subjects), quarantine.isSuspected(subjects), digestCount])
            .to.deep.equal([true, false, 1]);
    });

    it("decides by its own observations only without contact to the control members", async () => {
        const { clock, quarantine, receive, crash } = createFixture();
        await crash(5);
        receive([]);
        expect(quarantine.isQuarantined(createTestSubjects(["first", "bad"]))).to.equal(false);
        await clock.advance(2_001);
        expect([
            quarantine.isQuarantined(createTestSubjects(["first", "bad"])),
            quarantine.isQuarantined(createTestSubjects(["first", "good"])),
        ])
            .to.deep.equal([true, false]);
        receive([]);
        expect(quarantine.isQuarantined(createTestSubjects(["first", "bad"]))).to.equal(false);
    });

    it("accuses no sound part without contact by crashes that others saw a quarantined request cause", async () => {
        const { clock, facts, quarantine, receive, lose } = createFixture();
        receive([`${requestSubjectPrefix}bad`]);
        for (const index of [1, 2, 3, 4]) {
            const details = {
                instanceId: `engine-${index}`,
                begunSubjectIds: [`${requestSubjectPrefix}bad`],
                waitingSubjectIds: [],
            };
            const observer = createTestFactStore(clock, "entry-2 1");
            observer.publish(crashFactKind, `2.${index}`, details);
            facts.merge(observer.getChanges(0, () => true).facts, "control");
            await lose(`engine-${index}`, ["sound"]);
        }
        await clock.advance(2_001);
        expect(quarantine.isQuarantined(createTestSubjects(["sound"]))).to.equal(false);
    });

    it("accuses no part without contact by crashes of engines at which its requests only waited", async () => {
        const { clock, quarantine, lose } = createFixture();
        for (const [index, hasBegun] of [true, false, true, true].entries()) {
            await lose(`engine-${index}`, ["sound"], hasBegun);
        }
        await clock.advance(2_001);
        expect(quarantine.isQuarantined(createTestSubjects(["sound"]))).to.equal(false);
    });

    it("accuses a part without contact only by more crashes than the others that were at them", async () => {
        const { clock, quarantine, lose } = createFixture();
        const isAccused = async () => {
            await clock.advance(2_001);
            return quarantine.isQuarantined(createTestSubjects(["sound"]));
        };
        for (const index of [1, 2, 3, 4, 5]) {
            await lose(`engine-${index}`, ["sound", "other"]);
        }
        const isAccusedAtFive = await isAccused();
        await lose("engine-6", ["sound", "other"]);
        expect([isAccusedAtFive, await isAccused()]).to.deep.equal([false, true]);
    });

    it("goes on refusing a request after a minute without contact to the control members", async () => {
        const { clock, quarantine, beginRun } = createFixture();
        const crashing = createTestSubjects([], "crashing");
        for (const index of [1, 2, 3]) {
            beginRun(`engine-${index}`, crashing).lose(LossCause.Connection);
            await clock.advance(500);
        }
        await clock.advance(2_000);
        const isRefusedAtFirst = quarantine.isQuarantined(crashing);
        await clock.advance(120_000);
        expect([isRefusedAtFirst, quarantine.isQuarantined(crashing)]).to.deep.equal([true, true]);
    });

    it("reports crashes, and completions of the parts in them and of suspects", async () => {
        const { quarantine, receive, beginRun, crash } = createFixture();
        receive([], ["maybe"]);
        beginRun("engine-1", createTestSubjects(["maybe", "other"])).complete();
        await crash(1);
        const { observations, completions } = quarantine.getReport();
        expect([observations.length, [...completions.keys()].sort()]).to.deep.equal([1, ["first", "maybe"]]);
    });
});
