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
            hashes: [],
            promptTokens: 1_000,
            maximumTokens: 0,
            mayRedirect: false,
            runAlone: false,
            ...changes,
        };
    }

    function createBench(changes: Partial<RequestSchedulerOptions> = {}) {
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
            slots.get(id)!.noteFirstToken();
            slots.get(id)!.release(undefined);
            await settle();
        }
    }

    function expectRefusal(outcome: ScheduleOutcome | undefined, reason: RefusalReason) {
        expect(outcome?.kind).to.equal("refused");
        return outcome?.kind === "refused" && expect(outcome.reason).to.equal(reason);
    }

    describe("schedule", () => {
        it("starts a request at once where nothing runs", async () => {
            const bench = createBench();
            const id = bench.add(createRequest());
            await bench.settle();
            expect(bench.started).to.deep.equal([id]);
            expect(bench.scheduler.getRunningCount()).to.equal(1);
        });

        it("lets short requests pass a long prefill in progress and long ones that wait", async () => {
            const bench = createBench();
            const long = bench.add(createRequest({ promptTokens: 60_000, priority: Priority.DEFERRED }));
            bench.add(createRequest({ promptTokens: 60_000, priority: Priority.DEFERRED }));
            const short = bench.add(createRequest({ subscriber: "/regie/desk/two" }));
            await bench.settle();
            expect(bench.started).to.deep.equal([long, short]);
        });

        it("refuses what may go elsewhere above its bound, with its cost, and takes it below", async () => {
            const bench = createBench();
            const dear = createRequest({ promptTokens: 8_000, hashes: ["a".repeat(32)], mayRedirect: true });
            const refused = await bench.scheduler.schedule(dear, bench.abort.signal);
            expectRefusal(refused, RefusalReason.BETTER_SIBLING);
            const hint = refused.kind === "refused" ? refused.hint : undefined;
            expect(hint?.predictedCostMilliseconds).to.equal(400);
            const taken = await bench.scheduler.schedule({ ...dear, acceptBelowMilliseconds: 401 }, bench.abort.signal);
            expect(taken.kind).to.equal("started");
        });

        it("keeps a prompt that no sibling can have cached where there is no wait", async () => {
            const bench = createBench();
            const request = createRequest({ promptTokens: 8_000, mayRedirect: true });
            expect((await bench.scheduler.schedule(request, bench.abort.signal)).kind).to.equal("started");
        });

        it("counts what is cached as no cost", async () => {
            const bench = createBench();
            const hashes = ["a".repeat(32), "b".repeat(32)];
            bench.prefixIndex.addEvent({ number: 1, incarnation: "1", kind: "stored", hashes });
            const request = createRequest({ promptTokens: 9_000, hashes, mayRedirect: true });
            expect((await bench.scheduler.schedule(request, bench.abort.signal)).kind).to.equal("started");
        });

        it("refuses what would miss its deadline", async () => {
            const bench = createBench();
            const request = createRequest({ promptTokens: 40_000, deadlineMilliseconds: 1_500 });
            const outcome = await bench.scheduler.schedule(request, bench.abort.signal);
            expectRefusal(outcome, RefusalReason.DEADLINE);
            expect(outcome.kind === "refused" && outcome.retryAfterMilliseconds).to.equal(500);
        });

        it("refuses what waits past its deadline", async () => {
            const bench = createBench({ maximumRunning: 1 });
            bench.add(createRequest());
            const late = bench.add(createRequest({ deadlineMilliseconds: 300 }));
            await bench.clock.advance(299);
            expect(bench.outcomes.get(late)).to.equal(undefined);
            await bench.clock.advance(2);
            expectRefusal(bench.outcomes.get(late), RefusalReason.DEADLINE);
            expect(bench.scheduler.getQueueLength()).to.equal(0);
        });

        it("refuses beyond the bound of its queue", async () => {
            const bench = createBench({ maximumRunning: 1, maximumQueued: 2 });
            const ids = [1, 2, 3, 4].map(() => bench.add(createRequest()));
            await bench.settle();
            expectRefusal(bench.outcomes.get(ids[3]!), RefusalReason.OVERLOADED);
            expect(bench.scheduler.getQueueLength()).to.equal(2);
        });

        it("lets a request go whose caller has gone", async () => {
            const bench = createBench({ maximumRunning: 1 });
            bench.add(createRequest());
            const waiting = bench.add(createRequest());
            await bench.settle();
            bench.abort.abort();
            await bench.settle();
            expectRefusal(bench.outcomes.get(waiting), RefusalReason.CANCELLED);
            expect(bench.scheduler.getQueueLength()).to.equal(0);
        });

        it("runs a request alone that must run alone", async () => {
            const bench = createBench();
            const first = bench.add(createRequest());
            const alone = bench.add(createRequest({ runAlone: true }));
            await bench.settle();
            expect(bench.started).to.deep.equal([first]);
            await bench.finish(first);
            const last = bench.add(createRequest());
            await bench.settle();
            expect(bench.started).to.deep.equal([first, alone]);
            await bench.finish(alone);
            expect(bench.started).to.deep.equal([first, alone, last]);
        });
    });

    describe("shared prefills", () => {
        const hashes = ["1", "2", "3"].map(digit => digit.repeat(32));

        it("computes a prefix once that several requests miss", async () => {
            const bench = createBench();
            const ids = [1, 2, 3].map(() => bench.add(createRequest({ hashes, promptTokens: 13_000 })));
            await bench.settle();
            expect(bench.started).to.deep.equal([ids[0]]);
            expect(bench.scheduler.getQueueLength()).to.equal(2);
            await bench.clock.advance(650);
            bench.slots.get(ids[0]!)!.noteFirstToken();
            await bench.settle();
            expect(bench.started).to.deep.equal(ids);
        });

        it("lets another compute it where the first fails", async () => {
            const bench = createBench();
            const ids = [1, 2, 3].map(() => bench.add(createRequest({ hashes, promptTokens: 13_000 })));
            await bench.settle();
            bench.slots.get(ids[0]!)!.release(undefined);
            await bench.settle();
            expect(bench.started).to.deep.equal(ids.slice(0, 2));
        });

        it("refuses what waits for a prefill when it drains", async () => {
            const bench = createBench();
            const ids = [1, 2].map(() => bench.add(createRequest({ hashes, promptTokens: 13_000 })));
            await bench.settle();
            bench.scheduler.drain();
            await bench.settle();
            expectRefusal(bench.outcomes.get(ids[1]!), RefusalReason.DRAINING);
        });
    });

    describe("drain", () => {
        it("refuses all that waits and all that comes, and lets run what runs", async () => {
            const bench = createBench({ maximumRunning: 1 });
            const ids = [1, 2, 3].map(() => bench.add(createRequest()));
            await bench.settle();
            bench.scheduler.drain();
            const late = bench.add(createRequest());
            await bench.settle();
            [ids[1]!, ids[2]!, late].forEach(id => expectRefusal(bench.outcomes.get(id), RefusalReason.DRAINING));
            expect(bench.scheduler.getRunningCount()).to.equal(1);
            expect(bench.scheduler.getQueueLength()).to.equal(0);
        });
    });

    it("leaves no place empty while a request waits, and ends with none held", async () => {
        const step = fc.record({
            kind: fc.constantFrom("add", "add", "finish", "firstToken", "wait"),
            workspace: fc.nat(3),
            promptTokens: fc.integer({ min: 1, max: 60_000 }),
            pieces: fc.nat(3),
            position: fc.nat(100),
        });
        await fc.assert(
            fc.asyncProperty(fc.array(step, { maxLength: 60 }), async steps => {
                const bench = createBench({ maximumRunning: 3 });
                const open = new Set<string>();
                for (const { kind, workspace, promptTokens, pieces, position } of steps) {
                    const startedOpen = bench.started.filter(id => open.has(id));
                    const chosen = startedOpen[position % Math.max(1, startedOpen.length)];
                    if (kind === "add") {
                        const hashes = [0, 1, 2].slice(0, pieces).map(index => `${workspace}${index}`.repeat(16));
                        const name = `workspace-${workspace}`;
                        open.add(bench.add(createRequest({ workspace: name, hashes, promptTokens })));
                    }
                    else if (kind === "wait") {
                        await bench.clock.advance(100);
                    }
                    else if (chosen !== undefined) {
                        bench.slots.get(chosen)!.noteFirstToken();
                        if (kind === "finish") {
                            bench.slots.get(chosen)!.release(undefined);
                            open.delete(chosen);
                        }
                    }
                    await bench.settle();
                    bench.outcomes.forEach((outcome, id) => outcome.kind === "refused" && open.delete(id));
                    const isIdle = bench.scheduler.getRunningCount() === 0;
                    expect(isIdle && bench.scheduler.getQueueLength() > 0).to.equal(false);
                }
                await finishAll(bench, open);
            }),
            { seed: 21, numRuns: 100 },
        );

        async function finishAll(bench: ReturnType<typeof createBench>, open: Set<string>): Promise<void> {
            while (open.size > 0) {
                const next = bench.started.find(id => open.has(id));
                expect(next).to.not.equal(undefined);
                open.delete(next!);
                await bench.finish(next!);
            }
            expect(bench.scheduler.getRunningCount()).to.equal(0);
        }
    });

    describe("fair shares", () => {
        /** Runs one engine for a time, with every subscriber's queue kept full; gets what each was served. */
        async function getServed(
            subscribers: readonly { workspace: string; subscriber: string; weight: number; tokens: number; }[],
            rounds: number,
        ): Promise<number[]> {
            const bench = createBench({ maximumRunning: 1 });
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
                        owners.set(bench.add(request), position);
                        waiting[position]!++;
                    }
                });
                await bench.settle();
                const id = bench.started.at(-1)!;
                const owner = owners.get(id)!;
                served[owner]! += subscribers[owner]!.tokens;
                waiting[owner]!--;
                await bench.clock.advance(subscribers[owner]!.tokens / tokensPerMillisecond);
                await bench.finish(id);
            }
            return served;
        }

        it("follow weights between workspaces within a request of each", async () => {
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

        it("give each subscriber of a workspace its part, and no workspace more for having many", async () => {
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

        it("starve no long request behind a stream of short ones", async () => {
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
