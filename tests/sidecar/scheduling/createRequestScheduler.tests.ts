import { expect } from "chai";
import fc from "fast-check";
import { setMaxListeners } from "node:events";
import { Priority, RefusalReason } from "../../../src/protocol";
import {
    createPrefixIndex,
    createRequestScheduler,
    RequestSchedulerOptions,
    RunningSlot,
    ScheduledRequest,
    ScheduleOutcome,
} from "../../../src/sidecar";
import { createManualClock } from "../../support/createManualClock";

describe("createRequestScheduler", () => {
    const tokensPerMillisecond = 20;
    let requestCount = 0;

    function createRequest(changes: Partial<ScheduledRequest> = {}): ScheduledRequest {
        return {
            requestId: `request-${requestCount++}`,
            workspace: "regie",
            subscriber: "/regie/desk/one",
            workspaceShareWeight: 1,
            subscriberShareWeight: 1,
            priority: Priority.INTERACTIVE,
            deadlineMilliseconds: 1_000_000,
            prefixHashes: [],
            promptTokens: 1_000,
            maximumOutputTokens: 0,
            mayRedirect: false,
            runAlone: false,
            ...changes,
        };
    }

    function createTestScheduler(changes: Partial<RequestSchedulerOptions> = {}) {
        const clock = createManualClock();
        const prefixIndex = createPrefixIndex();
        const scheduler = createRequestScheduler({
            clock,
            prefixIndex,
            maximumRunning: 8,
            maximumQueued: 1_000,
            prefillTokensPerSecond: 20_000,
            blockTokens: 4_096,
            ...changes,
        });
        const started: string[] = [];
        const slots = new Map<string, RunningSlot>();
        const outcomes = new Map<string, ScheduleOutcome>();
        const abort = new AbortController();
        setMaxListeners(0, abort.signal);
        return { clock, prefixIndex, scheduler, started, slots, outcomes, abort, add, settle, finish };

        function add(request: ScheduledRequest): string {
            void scheduler.schedule(request, abort.signal).then(outcome => {
                outcomes.set(request.requestId, outcome);
                if (outcome.kind === "started") {
                    started.push(request.requestId);
                    slots.set(request.requestId, outcome.slot);
                }
            });
            return request.requestId;
        }

        function settle(): Promise<void> {
            return clock.advance(0);
        }

        async function finish(id: string): Promise<void> {
            slots.get(id)!.recordFirstToken();
            slots.get(id)!.release(undefined);
            await settle();
        }
    }

    function expectRefusal(outcome: ScheduleOutcome | undefined, reason: RefusalReason) {
        expect(outcome?.kind).to.equal("refused");
        return outcome?.kind === "refused" && expect(outcome.reason).to.equal(reason);
    }

    describe("schedule", () => {
        it("starts a request at once if nothing is running", async () => {
            const harness = createTestScheduler();
            const id = harness.add(createRequest());
            await harness.settle();
            expect(harness.started).to.deep.equal([id]);
            expect(harness.scheduler.getRunningCount()).to.equal(1);
        });

        it("starts short requests beside a long prefill in progress and before waiting long ones", async () => {
            const harness = createTestScheduler();
            const long = harness.add(createRequest({ promptTokens: 60_000, priority: Priority.DEFERRED }));
            harness.add(createRequest({ promptTokens: 60_000, priority: Priority.DEFERRED }));
            const short = harness.add(createRequest({ subscriber: "/regie/desk/two" }));
            await harness.settle();
            expect(harness.started).to.deep.equal([long, short]);
        });

        it("refuses a redirectable request above its cost limit, with its cost, and accepts it below", async () => {
            const harness = createTestScheduler();
            const expensive = createRequest({ promptTokens: 8_000, prefixHashes: ["a".repeat(32)], mayRedirect: true });
            const refused = await harness.scheduler.schedule(expensive, harness.abort.signal);
            expectRefusal(refused, RefusalReason.BETTER_SIBLING);
            const hint = refused.kind === "refused" ? refused.hint : undefined;
            expect(hint?.predictedCostMilliseconds).to.equal(400);
            const taken = await harness.scheduler.schedule(
                { ...expensive, acceptBelowMilliseconds: 401 },
                harness.abort.signal,
            );
            expect(taken.kind).to.equal("started");
        });

        it("keeps a prompt that no sibling can have cached if there is no wait", async () => {
            const harness = createTestScheduler();
            const request = createRequest({ promptTokens: 8_000, mayRedirect: true });
            expect((await harness.scheduler.schedule(request, harness.abort.signal)).kind).to.equal("started");
        });

        it("does not count cached blocks as a cost", async () => {
            const harness = createTestScheduler();
            const hashes = ["a".repeat(32), "b".repeat(32)];
            harness.prefixIndex.addEvent({ number: 1, incarnation: "1", kind: "stored", hashes });
            const request = createRequest({ promptTokens: 9_000, prefixHashes: hashes, mayRedirect: true });
            expect((await harness.scheduler.schedule(request, harness.abort.signal)).kind).to.equal("started");
        });

        it("refuses a request that would miss its deadline", async () => {
            const harness = createTestScheduler();
            const request = createRequest({ promptTokens: 40_000, deadlineMilliseconds: 1_500 });
            const outcome = await harness.scheduler.schedule(request, harness.abort.signal);
            expectRefusal(outcome, RefusalReason.DEADLINE);
            expect(outcome.kind === "refused" && outcome.retryAfterMilliseconds).to.equal(500);
        });

        it("refuses a waiting request when its deadline passes", async () => {
            const harness = createTestScheduler({ maximumRunning: 1 });
            harness.add(createRequest());
            const late = harness.add(createRequest({ deadlineMilliseconds: 300 }));
            await harness.clock.advance(299);
            expect(harness.outcomes.get(late)).to.equal(undefined);
            await harness.clock.advance(2);
            expectRefusal(harness.outcomes.get(late), RefusalReason.DEADLINE);
            expect(harness.scheduler.getQueueLength()).to.equal(0);
        });

        it("refuses requests beyond the limit of its queue", async () => {
            const harness = createTestScheduler({ maximumRunning: 1, maximumQueued: 2 });
            const ids = [1, 2, 3, 4].map(() => harness.add(createRequest()));
            await harness.settle();
            expectRefusal(harness.outcomes.get(ids[3]!), RefusalReason.OVERLOADED);
            expect(harness.scheduler.getQueueLength()).to.equal(2);
        });

        it("refuses a waiting request that its caller cancels", async () => {
            const harness = createTestScheduler({ maximumRunning: 1 });
            harness.add(createRequest());
            const waiting = harness.add(createRequest());
            await harness.settle();
            harness.abort.abort();
            await harness.settle();
            expectRefusal(harness.outcomes.get(waiting), RefusalReason.CANCELLED);
            expect(harness.scheduler.getQueueLength()).to.equal(0);
        });

        it("runs no other request beside one that must run alone", async () => {
            const harness = createTestScheduler();
            const first = harness.add(createRequest());
            const alone = harness.add(createRequest({ runAlone: true }));
            await harness.settle();
            expect(harness.started).to.deep.equal([first]);
            await harness.finish(first);
            const last = harness.add(createRequest());
            await harness.settle();
            expect(harness.started).to.deep.equal([first, alone]);
            await harness.finish(alone);
            expect(harness.started).to.deep.equal([first, alone, last]);
        });
    });

    describe("coalesced prefills", () => {
        const hashes = ["1", "2", "3"].map(digit => digit.repeat(32));

        it("computes a prefix that several requests miss once", async () => {
            const harness = createTestScheduler();
            const ids = [1, 2, 3].map(() => harness.add(createRequest({ prefixHashes: hashes, promptTokens: 13_000 })));
            await harness.settle();
            expect(harness.started).to.deep.equal([ids[0]]);
            expect(harness.scheduler.getQueueLength()).to.equal(2);
            await harness.clock.advance(650);
            harness.slots.get(ids[0]!)!.recordFirstToken();
            await harness.settle();
            expect(harness.started).to.deep.equal(ids);
        });

        it("starts another request that computes the prefix if the first fails", async () => {
            const harness = createTestScheduler();
            const ids = [1, 2, 3].map(() => harness.add(createRequest({ prefixHashes: hashes, promptTokens: 13_000 })));
            await harness.settle();
            harness.slots.get(ids[0]!)!.release(undefined);
            await harness.settle();
            expect(harness.started).to.deep.equal(ids.slice(0, 2));
        });

        it("refuses requests that wait for a prefill when it drains", async () => {
            const harness = createTestScheduler();
            const ids = [1, 2].map(() => harness.add(createRequest({ prefixHashes: hashes, promptTokens: 13_000 })));
            await harness.settle();
            harness.scheduler.drain();
            await harness.settle();
            expectRefusal(harness.outcomes.get(ids[1]!), RefusalReason.DRAINING);
        });
    });

    describe("drain", () => {
        it("refuses waiting and new requests, and lets running ones finish", async () => {
            const harness = createTestScheduler({ maximumRunning: 1 });
            const ids = [1, 2, 3].map(() => harness.add(createRequest()));
            await harness.settle();
            harness.scheduler.drain();
            const late = harness.add(createRequest());
            await harness.settle();
            [ids[1]!, ids[2]!, late].forEach(id => expectRefusal(harness.outcomes.get(id), RefusalReason.DRAINING));
            expect(harness.scheduler.getRunningCount()).to.equal(1);
            expect(harness.scheduler.getQueueLength()).to.equal(0);
        });
    });

    it("never idles while a request waits, and starts every admitted request", async () => {
        const step = fc.record({
            kind: fc.constantFrom("add", "add", "finish", "firstToken", "wait"),
            workspace: fc.nat(3),
            promptTokens: fc.integer({ min: 1, max: 60_000 }),
            blocks: fc.nat(3),
            position: fc.nat(100),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 60 }), async steps => {
                const harness = createTestScheduler({ maximumRunning: 3 });
                const open = new Set<string>();
                for (const { kind, workspace, promptTokens, blocks, position } of steps) {
                    const startedOpen = harness.started.filter(id => open.has(id));
                    const chosen = startedOpen[position % Math.max(1, startedOpen.length)];
                    if (kind === "add") {
                        const hashes = [0, 1, 2].slice(0, blocks).map(index => `${workspace}${index}`.repeat(16));
                        const name = `workspace-${workspace}`;
                        open.add(harness.add(createRequest({ workspace: name, prefixHashes: hashes, promptTokens })));
                    }
                    else if (kind === "wait") {
                        await harness.clock.advance(100);
                    }
                    else if (chosen !== undefined) {
                        harness.slots.get(chosen)!.recordFirstToken();
                        if (kind === "finish") {
                            harness.slots.get(chosen)!.release(undefined);
                            open.delete(chosen);
                        }
                    }
                    await harness.settle();
                    harness.outcomes.forEach((outcome, id) => outcome.kind === "refused" && open.delete(id));
                    const isIdle = harness.scheduler.getRunningCount() === 0;
                    expect(isIdle && harness.scheduler.getQueueLength() > 0).to.equal(false);
                }
                await finishAll(harness, open);
            }),
            { seed: 21, numRuns: 100 },
        );

        async function finishAll(harness: ReturnType<typeof createTestScheduler>, open: Set<string>): Promise<void> {
            while (open.size > 0) {
                const next = harness.started.find(id => open.has(id));
                expect(next).to.not.equal(undefined);
                open.delete(next!);
                await harness.finish(next!);
            }
            expect(harness.scheduler.getRunningCount()).to.equal(0);
        }
    });

    describe("fair shares", () => {
        /** Runs one engine with two requests of each subscriber always waiting; returns the tokens served to each. */
        async function getServed(
            subscribers: readonly { workspace: string; subscriber: string; weight: number; tokens: number; }[],
            rounds: number,
        ): Promise<number[]> {
            const harness = createTestScheduler({ maximumRunning: 1 });
            const served = subscribers.map(() => 0);
            const owners = new Map<string, number>();
            const waiting = subscribers.map(() => 0);
            for (let round = 0; round < rounds; round++) {
                subscribers.forEach(({ workspace, subscriber, weight, tokens }, position) => {
                    while (waiting[position]! < 2) {
                        const request = createRequest({
                            workspace,
                            subscriber,
                            workspaceShareWeight: weight,
                            promptTokens: tokens,
                        });
                        owners.set(harness.add(request), position);
                        waiting[position]!++;
                    }
                });
                await harness.settle();
                const id = harness.started.at(-1)!;
                const owner = owners.get(id)!;
                served[owner]! += subscribers[owner]!.tokens;
                waiting[owner]!--;
                await harness.clock.advance(subscribers[owner]!.tokens / tokensPerMillisecond);
                await harness.finish(id);
            }
            return served;
        }

        it("follow the weights of workspaces, up to the size of two requests", async () => {
            const names = ["a", "b", "c"];
            const subscribers = names.map((workspace, index) => ({
                workspace,
                subscriber: `/${workspace}/t/s`,
                weight: index + 1,
                tokens: [500, 2_000, 900][index]!,
            }));
            const served = await getServed(subscribers, 600);
            const shares = served.map((tokens, index) => tokens / subscribers[index]!.weight);
            expect(Math.max(...shares) - Math.min(...shares)).to.be.at.most(2 * 2_000);
        });

        it("divide a workspace's share among its subscribers, without more for a workspace with many", async () => {
            const subscribers = ["/a/t/1", "/a/t/2", "/a/t/3", "/b/t/1"].map(subscriber => ({
                workspace: subscriber.slice(1, 2),
                subscriber,
                weight: 1,
                tokens: 1_000,
            }));
            const served = await getServed(subscribers, 600);
            const ofFirst = served[0]! + served[1]! + served[2]!;
            expect(Math.abs(ofFirst - served[3]!)).to.be.at.most(2_000);
            expect(Math.max(...served.slice(0, 3)) - Math.min(...served.slice(0, 3))).to.be.at.most(2_000);
        });

        it("do not starve long requests behind a stream of short ones", async () => {
            const subscribers = [0, 1, 2, 3, 4, 5].map(index => ({
                workspace: `w${index}`,
                subscriber: `/w${index}/t/s`,
                weight: 1,
                tokens: index === 0 ? 40_000 : 400,
            }));
            const served = await getServed(subscribers, 1_200);
            expect(served[0]! / 40_000).to.be.at.least(2);
        });
    });
});
