import { expect } from "chai";
import * as fc from "fast-check";
import { createRetryBudgets } from "../../src/forwarding";
import { createManualClock } from "../support/createManualClock";
import { RetryEvent, RetryEventKind, RetryHistory, simulatedBudget, simulateRetries } from "./simulateRetries";

describe("the retries of several entry processes", () => {
    const lengthMilliseconds = 45_000;
    /** The number of histories by hand: RETRY_HISTORIES=10000. */
    const historyCount = Number(process.env.RETRY_HISTORIES ?? 300);

    function play(history: RetryHistory) {
        return simulateRetries(history, (state, clock) => createRetryBudgets({ ...simulatedBudget, state, clock }));
    }

    function doTest(changes: Partial<RetryHistory>): void {
        const { worst } = play({
            entryCount: 3,
            requestsPerSecond: 24,
            lengthMilliseconds,
            failures: [{ fromMilliseconds: 0, forMilliseconds: lengthMilliseconds }],
            events: [],
            ...changes,
        });
        expect(worst.retries).to.be.at.most(worst.allowed);
    }

    function createSeries(kind: RetryEventKind, intervalMilliseconds: number): readonly RetryEvent[] {
        return Array.from({ length: lengthMilliseconds / intervalMilliseconds }, (...[, index]) => ({
            kind,
            atMilliseconds: index * intervalMilliseconds,
            forMilliseconds: 0,
            entry: index,
        }));
    }

    it("stay within the budget where processes are killed in series", () =>
        doTest({ events: createSeries(RetryEventKind.Kill, 2_000) }));

    it("stay within the budget where all processes are killed at once, again and again", () =>
        doTest({ events: createSeries(RetryEventKind.KillAll, 4_000) }));

    it("stay within the budget where a new leader has not heard of all processes", () =>
        doTest({
            requestsPerSecond: 200,
            failures: [{ fromMilliseconds: 15_000, forMilliseconds: lengthMilliseconds }],
            events: createSeries(RetryEventKind.NewLeader, 3_000),
        }));

    it("stay within the budget in any history of starts, cuts, leaders and failures", () => {
        const times = fc.integer({ min: 0, max: lengthMilliseconds / 100 }).map(steps => steps * 100);
        const histories = fc.record({
            entryCount: fc.constantFrom(1, 2, 3, 5, 8, 23),
            requestsPerSecond: fc.constantFrom(1, 5, 24, 45, 120, 400),
            lengthMilliseconds: fc.constant(lengthMilliseconds),
            failures: fc.array(fc.record({ fromMilliseconds: times, forMilliseconds: times }), {
                minLength: 1,
                maxLength: 4,
            }),
            events: fc.array(
                fc.record({
                    kind: fc.constantFrom(...Object.values(RetryEventKind)),
                    atMilliseconds: times,
                    forMilliseconds: times,
                    entry: fc.integer({ min: 0, max: 22 }),
                }),
                { maxLength: 40 },
            ),
        });
        fc.assert(
            fc.property(histories, history => {
                const { worst } = play(history);
                return worst.retries <= worst.allowed;
            }),
            { seed: 55, numRuns: historyCount },
        );
    });
});

describe("createRetryBudgets", () => {
    /** The steps: time that passes, requests that are sent first, control that is lost or found. */
    type Step = { milliseconds: number; } | { requests: number; } | { contact: boolean; } | { entryCount: number; };

    /** Counts the retries that can be taken after the steps, or after each step. */
    async function doTest(steps: readonly Step[], expected: number, takesBetween = false) {
        const clock = createManualClock();
        let startMilliseconds: number | undefined = 0;
        let entryCount = 2;
        let takenCount = 0;
        const budgets = createRetryBudgets({
            share: 0.25,
            reserve: 25,
            windowMilliseconds: 10_000,
            state: { getContactStartMilliseconds: () => startMilliseconds, getEntryCount: () => entryCount },
            clock,
        });
        for (const step of steps) {
            if ("milliseconds" in step) {
                await clock.advance(step.milliseconds);
            }
            else if ("requests" in step) {
                Array.from({ length: step.requests }, () => budgets.addFirstAttempt("models"));
            }
            else if ("contact" in step) {
                startMilliseconds = step.contact ? clock.getMonotonicMilliseconds() : undefined;
            }
            else {
                entryCount = step.entryCount;
            }
            if (takesBetween) {
                takeAll();
            }
        }
        takeAll();
        expect(takenCount).to.equal(expected);

        function takeAll(): void {
            while (budgets.tryTakeRetry("models")) {
                takenCount += 1;
            }
        }
    }

    it("begin empty", () => doTest([{ milliseconds: 10_000 }], 0));
    it("earn a share of the requests from the start", () => doTest([{ requests: 20 }], 4));
    it("save no more than their part", () => doTest([{ requests: 500 }], 10));
    it("get their part of the reserve once the contact has lasted", () => doTest([{ milliseconds: 11_000 }], 10));
    it("get it for a service that is new then, too", () => doTest([{ milliseconds: 60_000 }], 10));
    it("get what is left of it after the retries that were earned meanwhile", () =>
        doTest([{ requests: 20 }, { milliseconds: 11_000 }], 10, true));
    it("get none before the first contact", () => doTest([{ contact: false }, { milliseconds: 60_000 }], 0));
    it("save one retry without contact", () =>
        doTest([{ milliseconds: 11_000 }, { contact: false }, { requests: 500 }], 1));
    it("begin empty again after a contact was lost", () =>
        doTest([{ milliseconds: 11_000 }, { contact: false }, { contact: true }, { milliseconds: 10_900 }], 0));
    it("get their part again once the new contact has lasted", () =>
        doTest([{ milliseconds: 11_000 }, { contact: false }, { contact: true }, { milliseconds: 11_000 }], 10));
    it("save less once there are more processes", () => doTest([{ milliseconds: 11_000 }, { entryCount: 4 }], 5));
});
