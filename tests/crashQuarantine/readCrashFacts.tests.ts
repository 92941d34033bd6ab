import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { CrashReport, createSubjectEvidence, publishCrashReport, readCrashFacts } from "../../src/crashQuarantine";
import { createFactSync } from "../../src/facts";
import { PollRequestSchema, PollResponseSchema } from "../../src/protocol";
import { createTestFactHub, createTestFactStore } from "../facts/createTestFacts";
import { createManualClock } from "../support/createManualClock";

describe("readCrashFacts", () => {
    const entryIds = ["entry-1", "entry-2", "entry-3"];

    /** Creates entry processes that exchange facts with a leader that may change. */
    function createFixture() {
        const clock = createManualClock();
        let leader = createLeader("1");
        return {
            clock,
            changeLeader: (storeId: string) => leader = createLeader(storeId),
            getEvidence: () => {
                readCrashFacts(leader.store, leader.evidence, clock);
                return leader.evidence;
            },
            createEntry,
        };

        function createLeader(storeId: string) {
            const store = createTestFactStore(clock, `control ${storeId}`);
            const hub = createTestFactHub({ clock, store, storeId, getEntryIds: () => entryIds });
            return { store, hub, evidence: createSubjectEvidence(clock) };
        }

        function createEntry(entryId: string, entryIncarnation: string) {
            const store = createTestFactStore(clock, `${entryId} ${entryIncarnation}`);
            const sync = createFactSync(store);
            return { report, poll };

            function report(changes: Partial<CrashReport>) {
                publishCrashReport(
                    store,
                    { incarnation: entryIncarnation, observations: [], completions: new Map(), ...changes },
                    clock,
                );
                poll();
            }

            function poll() {
                const request = create(PollRequestSchema, { entryId, entryIncarnation, ...sync.createPollFields() });
                leader.hub.readPoll(request);
                sync.readResponse(create(PollResponseSchema, leader.hub.createResponseFields(request)));
            }
        }
    }

    function createCrash(count: number, begunSubjectIds: string[], incarnation = "1") {
        return {
            reportId: `${incarnation}.${count}`,
            instanceId: `engine-${count}`,
            ageMilliseconds: 0,
            begunSubjectIds,
            waitingSubjectIds: [],
        };
    }

    /** Reports four crashes with a part to a leader, by one entry process. */
    async function createAccused() {
        const fixture = createFixture();
        const entry = fixture.createEntry("entry-1", "1");
        for (const count of [1, 2, 3, 4]) {
            entry.report({ observations: [createCrash(count, ["a"])] });
            await fixture.clock.advance(1_000);
        }
        return { ...fixture, entry };
    }

    it("accuses a part that was at enough crashes, each counted once however often it is reported", async () => {
        const { entry, getEvidence } = await createAccused();
        entry.report({ observations: [createCrash(4, ["a"])] });
        expect(getEvidence().getGuiltySubjects().map(({ subjectId }) => subjectId)).to.deep.equal(["a"]);
    });

    it("does not quarantine a sound part whose completions a restarted entry process has forgotten", async () => {
        const { createEntry, getEvidence } = await createAccused();
        createEntry("entry-2", "1").report({ completions: new Map([["a", [100, 200, 300, 400]]]) });
        createEntry("entry-2", "2").report({});
        expect(getEvidence().getGuiltySubjects()).to.deep.equal([]);
    });

    it("keeps the completions of a part that a later report does not name", async () => {
        const { createEntry, getEvidence } = await createAccused();
        const entry = createEntry("entry-2", "1");
        entry.report({ completions: new Map([["a", [100, 200, 300, 400]]]) });
        entry.report({ completions: new Map([["b", [100]]]) });
        expect(getEvidence().getGuiltySubjects()).to.deep.equal([]);
    });

    it("knows at a new leader what an entry process has reported that restarted since", async () => {
        const { clock, createEntry, changeLeader, getEvidence } = createFixture();
        const first = createEntry("entry-1", "1");
        const others = ["entry-2", "entry-3"].map(entryId => createEntry(entryId, "1"));
        // The request of the first entry process crashes engines; the others see only a sound part at the same crashes.
        for (const count of [1, 2, 3, 4]) {
            first.report({ observations: [createCrash(count, ["a", "request-guilty"], "first")] });
            others.forEach((entry, index) =>
                entry.report({ observations: [createCrash(count, ["a"], `other-${index}`)] })
            );
            await clock.advance(1_000);
        }
        others.forEach(entry => entry.poll());
        changeLeader("2");
        const restarted = createEntry("entry-1", "2");
        [restarted, ...others, ...others].forEach(entry => entry.poll());
        expect(getEvidence().getGuiltySubjects().map(({ subjectId }) => subjectId)).to.deep.equal(["request-guilty"]);
    });

    it("reads the fields of entry processes that exchange no facts", async () => {
        const clock = createManualClock();
        const store = createTestFactStore(clock, "control");
        const hub = createTestFactHub({ clock, store });
        const evidence = createSubjectEvidence(clock);
        const crashes = [1, 2, 3, 4].map(count => ({
            ...createCrash(count, ["a"]),
            ageMilliseconds: 5_000 - 1_000 * count,
        }));
        const request = create(PollRequestSchema, { entryId: "entry-1", entryIncarnation: "1", crashes });
        hub.readPoll(request);
        readCrashFacts(store, evidence, clock);
        expect(evidence.getGuiltySubjects().map(({ subjectId }) => subjectId)).to.deep.equal(["a"]);
        expect([hub.hasNewFacts(request), hub.createResponseFields(request).factStoreId]).to.deep.equal([false, ""]);
    });
});
