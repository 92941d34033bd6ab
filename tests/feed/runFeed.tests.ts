import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { createFactSync } from "../../src/facts";
import { createFeedState, PollResult, runFeed } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { PollOutcome, PollResponseSchema } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createTestDocument } from "../documents/createTestDocument";
import { createTestFactKind } from "../facts/createTestFactKind";
import { createTestFactStore } from "../facts/createTestFacts";
import { createManualClock } from "../support/createManualClock";
import { decodeTestDocument, updateTestFeedState } from "./createTestFeed";

describe("runFeed", () => {
    const seeds = ["10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"];

    /**
     * Runs the task for some time.
     * @param getResult - Gets the result of a poll of the member at an address.
     * @param milliseconds - How long the task runs, in milliseconds.
     */
    async function runWith(
        getResult: (address: string) => PollResult,
        milliseconds: number,
        getSeedAddresses: () => readonly string[] = () => seeds,
    ) {
        const clock = createManualClock();
        const state = createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
        const controller = new AbortController();
        const polled: string[] = [];
        const task = runFeed({
            entryId: "entry-1",
            getSeedAddresses,
            client: {
                poll: async (address, request, timeoutMilliseconds) => {
                    polled.push(address);
                    const result = getResult(address);
                    await clock.sleep(result.kind === "failed" ? timeoutMilliseconds : request.waitMilliseconds + 1);
                    return result;
                },
            },
            state,
            factSync: createFactSync(createTestFactStore(clock)),
            clock,
            random: createRandomSource(3),
            logger: createSilentLogger(),
            signal: controller.signal,
        });
        await clock.advance(milliseconds);
        controller.abort();
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
    const notLeader: PollResult = {
        kind: "answered",
        response: create(PollResponseSchema, { outcome: PollOutcome.NOT_LEADER, leaderAddress: "10.0.0.9:1" }),
    };
    const failed: PollResult = { kind: "failed", reason: "no answer" };

    it("keeps polling the member that responds as the leader", async () => {
        const { state, polled } = await runWith(() => current, 2_000);
        expect(new Set(polled).size).to.equal(1);
        expect(state.getRouteTable()?.document.version).to.equal(1);
    });

    it("polls the named leader, even if it is not one of the seeds", async () => {
        const { polled } = await runWith(address => address === "10.0.0.9:1" ? current : notLeader, 2_000);
        expect(polled[1]).to.equal("10.0.0.9:1");
    });

    it("finds the one member that responds while polls of the others fail", async () => {
        const { state } = await runWith(address => address === seeds[1] ? current : failed, 3_000);
        expect(state.getRouteTable()?.document.version).to.equal(1);
    });

    it("returns to the seeds if the poll of the named leader fails", async () => {
        let isLeaderNamed = true;
        const { state } = await runWith(address => {
            if (address === "10.0.0.9:1") {
                isLeaderNamed = false;
                return failed;
            }
            return isLeaderNamed ? notLeader : current;
        }, 4_000);
        expect(state.getRouteTable()?.document.version).to.equal(1);
    });

    it("waits while no member is known", async () => {
        let count = 0;
        const getSeedAddresses = () => ++count < 20 ? [] : seeds;
        const { state, polled } = await runWith(() => current, 4_000, getSeedAddresses);
        expect(polled).to.not.include(undefined);
        expect(state.getRouteTable()?.document.version).to.equal(1);
    });

    it("leaves no listener behind where it fails", async () => {
        const clock = createManualClock();
        const state = createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
        const factSync = createFactSync(createTestFactStore(clock));
        let count = 0;
        const countListener = (add: (listener: () => void) => () => void) => (listener: () => void) => {
            const remove = add(listener);
            count += 1;
            return () => {
                count -= 1;
                remove();
            };
        };
        const failure = await runFeed({
            entryId: "entry-1",
            getSeedAddresses: () => seeds,
            client: { poll: () => Promise.reject(new Error("broken")) },
            state: { ...state, addConfirmationListener: countListener(state.addConfirmationListener) },
            factSync: { ...factSync, addUrgentListener: countListener(factSync.addUrgentListener) },
            clock,
            random: createRandomSource(3),
            logger: createSilentLogger(),
            signal: new AbortController().signal,
        }).catch((thrown: unknown) => thrown);
        expect(failure).to.be.instanceOf(Error);
        expect(count).to.equal(0);
    });

    describe("an urgent fact", () => {
        const kind = createTestFactKind({ isUrgent: true });

        /** Runs the task with a leader that has no changes; returns the polls with the facts that they sent. */
        async function createUrgentTrial() {
            const clock = createManualClock();
            const facts = createTestFactStore(clock, "entry-1 1", [kind]);
            const state = createFeedState({ decode: decodeTestDocument, clock, logger: createSilentLogger() });
            const polls: { milliseconds: number; factCount: number; isComplete: boolean; }[] = [];
            const extension = {
                reporters: [] as string[],
                responseCount: 0,
                contactStarts: [] as (number | undefined)[],
                pollAtOnce: () => undefined as void,
            };
            void runFeed({
                entryId: "entry-1",
                getSeedAddresses: () => seeds,
                client: {
                    poll: async (...[, request, , signal]) => {
                        const poll = {
                            milliseconds: clock.getMonotonicMilliseconds(),
                            factCount: request.facts.length,
                            isComplete: false,
                        };
                        polls.push(poll);
                        extension.reporters.push(request.quotaReporter);
                        await clock.sleep(request.waitMilliseconds + 1, signal);
                        poll.isComplete = !signal.aborted;
                        return signal.aborted ? failed : {
                            kind: "answered",
                            response: {
                                ...(current as Extract<PollResult, { kind: "answered"; }>).response,
                                factStoreId: "1",
                                fleetRevision: state.getFleetRevision(),
                            },
                        };
                    },
                },
                state,
                factSync: createFactSync(facts),
                extension: {
                    createPollFields: () => ({ quotaReporter: "entry-1 1" }),
                    prepareResponse: () => extension.contactStarts.push(state.getContactStartMilliseconds()),
                    readResponse: () => extension.responseCount += 1,
                    addUrgentListener: listener => {
                        extension.pollAtOnce = listener;
                        return () => undefined;
                    },
                },
                clock,
                random: createRandomSource(3),
                logger: createSilentLogger(),
                signal: new AbortController().signal,
            });
            await clock.advance(1_000);
            polls.length = 0;
            return { clock, facts, state, polls, extension };
        }

        it("replaces a poll that waits, and is sent once", async () => {
            const { clock, facts, polls } = await createUrgentTrial();
            const start = clock.getMonotonicMilliseconds();
            facts.publish(kind, "a", "1");
            await clock.advance(30);
            expect(polls.map(({ milliseconds, factCount }) => [milliseconds - start, factCount]))
                .to.deep.equal([[25, 1], [26, 0]]);
        });

        it("is sent as soon as a request that waits for a quota, whose fields are in each poll", async () => {
            const { clock, polls, extension } = await createUrgentTrial();
            const start = clock.getMonotonicMilliseconds();
            const { responseCount } = extension;
            extension.pollAtOnce();
            await clock.advance(30);
            expect(polls.map(({ milliseconds }) => milliseconds - start)).to.deep.equal([25, 26]);
            expect(extension.responseCount).to.equal(responseCount + 1);
            expect(new Set(extension.reporters)).to.deep.equal(new Set(["entry-1 1"]));
        });

        it("is preceded by a notice before the first response starts the contact", async () => {
            const { extension } = await createUrgentTrial();
            expect(extension.contactStarts[0]).to.equal(undefined);
            expect(extension.contactStarts.slice(1)).not.to.include(undefined);
        });

        it("is followed by the confirmation of the fleet, also where that is asked for while others are awaited", async () => {
            const { clock, state, polls } = await createUrgentTrial();
            const start = clock.getMonotonicMilliseconds();
            updateTestFeedState(state, clock, []);
            const confirmed: boolean[] = [];
            void state.confirmFleet(500).then(isConfirmed => confirmed.push(isConfirmed));
            await clock.advance(10);
            void state.confirmFleet(500).then(isConfirmed => confirmed.push(isConfirmed));
            await clock.advance(30);
            expect(polls.map(({ milliseconds }) => milliseconds - start)).to.deep.equal([25, 26]);
            expect(confirmed).to.deep.equal([true, true]);
        });

        it("shares polls with others that follow closely, and lets the document grow no older than otherwise", async () => {
            const { clock, facts, state, polls } = await createUrgentTrial();
            for (let count = 0; count < 200; count++) {
                facts.publish(kind, String(count), "1");
                await clock.advance(5);
                expect(state.getDocumentAgeMilliseconds()).to.be.at.most(850);
            }
            expect(polls.length).to.be.at.most(2 * 1_000 / 25 + 2);
            expect(polls.reduce((sum, { factCount, isComplete }) => sum + (isComplete ? factCount : 0), 0))
                .to.be.at.least(190);
        });
    });
});
