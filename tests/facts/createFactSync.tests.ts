import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import * as fc from "fast-check";
import { createFactSync, FactDistribution, FactKind } from "../../src/facts";
import { PollRequestSchema, PollResponseSchema } from "../../src/protocol";
import { createNodeRanking } from "../../src/routing";
import { createManualClock, ManualClock } from "../support/createManualClock";
import { createTestFactKind } from "./createTestFactKind";
import { createTestFactHub, createTestFactStore } from "./createTestFacts";

describe("createFactSync", () => {
    const entryIds = Array.from({ length: 8 }, (...[, index]) => `entry-${index}`);

    /** Creates entry processes and a leader. */
    function createFixture(kind: FactKind<string>) {
        const clock = createManualClock();
        let startCount = 0;
        const start = (entryId: string) => createEntry(clock, entryId, kind, ++startCount);
        const fixture = { clock, entries: entryIds.map(start), leader: createLeader(0), changeLeader, restart, poll };
        return fixture;

        function createLeader(number: number) {
            const store = createTestFactStore(clock, `control-${number}`, [kind]);
            const storeId = `store-${number}`;
            return {
                store,
                hub: createTestFactHub({ clock, store, storeId, kinds: [kind], getEntryIds: () => entryIds }),
            };
        }

        function changeLeader() {
            fixture.leader = createLeader(++startCount);
        }

        function restart(index: number) {
            fixture.entries[index] = start(entryIds[index]!);
        }

        /** Lets an entry process poll; the request or the response may be lost. */
        function poll(index: number, lost: "none" | "request" | "response" = "none") {
            const { entryId, sync } = fixture.entries[index]!;
            const request = create(PollRequestSchema, { entryId, ...sync.createPollFields() });
            if (lost !== "request") {
                fixture.leader.hub.readPoll(request);
            }
            if (lost === "none") {
                sync.readResponse(create(PollResponseSchema, fixture.leader.hub.createResponseFields(request)));
            }
            return request.facts.length;
        }
    }

    function createEntry(clock: ManualClock, entryId: string, kind: FactKind<string>, start: number) {
        const store = createTestFactStore(clock, `${entryId} ${start}`, [kind]);
        return { entryId, store, sync: createFactSync(store) };
    }

    const getValues = (store: ReturnType<typeof createTestFactStore>, kind: FactKind<string>) =>
        store.getAll(kind).map(({ value }) => value).sort();

    it("sends each fact once to a leader that has confirmed it", () => {
        const kind = createTestFactKind();
        const { entries, poll } = createFixture(kind);
        poll(0);
        entries[0]!.store.publish(kind, "a", "1");
        expect([poll(0), poll(0), poll(0, "request")]).to.deep.equal([1, 0, 0]);
    });

    it("sends a fact again until the leader has confirmed it", () => {
        const kind = createTestFactKind();
        const { entries, poll } = createFixture(kind);
        poll(0);
        entries[0]!.store.publish(kind, "a", "1");
        expect([poll(0, "request"), poll(0, "response"), poll(0), poll(0)]).to.deep.equal([1, 1, 1, 0]);
    });

    it("keeps a fact for control members at its reporter and three other entry processes", () => {
        const kind = createTestFactKind({ distribution: FactDistribution.FewEntries });
        const { entries, poll } = createFixture(kind);
        entries[0]!.store.publish(kind, "a", "1");
        poll(0);
        poll(0);
        entryIds.forEach((...[, index]) => poll(index));
        const holders = entries.filter(({ store }) => store.getAll(kind).length > 0);
        expect(holders.length).to.be.within(3, 4);
    });

    it("ranks the entry processes once for each fact, and wakes none for facts that few of them keep", () => {
        const kind = createTestFactKind({ distribution: FactDistribution.FewEntries, maximumCount: 1_000 });
        const clock = createManualClock();
        const store = createTestFactStore(clock, "control", [kind]);
        const ids = Array.from({ length: 68 }, (...[, index]) => `entry-${index}`);
        let rankingCount = 0;
        const ranking = createNodeRanking();
        const hub = createTestFactHub({
            clock,
            store,
            kinds: [kind],
            getEntryIds: () => ids,
            ranking: {
                getHighest: (...parameters) => {
                    rankingCount += 1;
                    return ranking.getHighest(...parameters);
                },
            },
        });
        const request = create(PollRequestSchema, { entryId: "entry-0", factStoreId: "store-1" });
        Array.from({ length: 500 }, (...[, index]) => store.publish(kind, String(index), "1"));
        ids.forEach(entryId => {
            expect(hub.hasNewFacts({ ...request, entryId })).to.equal(false);
            hub.createResponseFields({ ...request, entryId });
        });
        expect(rankingCount).to.equal(500);
    });

    it("gives a new leader the facts of an entry process that has restarted", () => {
        const kind = createTestFactKind({ distribution: FactDistribution.FewEntries });
        const fixture = createFixture(kind);
        const { entries, poll } = fixture;
        entries[0]!.store.publish(kind, "a", "1");
        [0, 0, ...entryIds.keys()].forEach(index => poll(index));
        fixture.restart(0);
        fixture.changeLeader();
        [...entryIds.keys(), ...entryIds.keys()].forEach(index => poll(index));
        expect(getValues(fixture.leader.store, kind)).to.deep.equal(["1"]);
    });

    it("lets all entry processes agree on all facts, whatever is lost or restarts before", () => {
        const index = fc.integer({ min: 0, max: entryIds.length - 1 });
        const action = fc.oneof(
            fc.record({ kind: fc.constant("publish" as const), index, key: fc.constantFrom("a", "b", "c") }),
            fc.record({ kind: fc.constant("withdraw" as const), index, key: fc.constantFrom("a", "b", "c") }),
            fc.record({
                kind: fc.constant("poll" as const),
                index,
                lost: fc.constantFrom("none" as const, "request" as const, "response" as const),
            }),
            fc.record({ kind: fc.constant("changeLeader" as const) }),
        );
        fc.assert(
            fc.property(fc.array(action, { maxLength: 60 }), actions => {
                const kind = createTestFactKind();
                const fixture = createFixture(kind);
                const expected = new Map<string, string>();
                actions.forEach((step, number) => {
                    switch (step.kind) {
                        case "publish":
                            expected.set(`${step.index} ${step.key}`, String(number));
                            fixture.entries[step.index]!.store.publish(kind, step.key, String(number));
                            return;
                        case "withdraw":
                            expected.delete(`${step.index} ${step.key}`);
                            fixture.entries[step.index]!.store.withdraw(kind, step.key);
                            return;
                        case "poll":
                            fixture.poll(step.index, step.lost);
                            return;
                        case "changeLeader":
                            fixture.changeLeader();
                            return;
                    }
                });
                for (let round = 0; round < 3; round++) {
                    entryIds.forEach((...[, position]) => fixture.poll(position));
                }
                const values = [...expected.values()].sort();
                fixture.entries.forEach(({ store }) => expect(getValues(store, kind)).to.deep.equal(values));
                expect(getValues(fixture.leader.store, kind)).to.deep.equal(values);
            }),
            { seed: 31, numRuns: 300 },
        );
    });
});
