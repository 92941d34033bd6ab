import { expect } from "chai";
import * as fc from "fast-check";
import { createRetryBudgets } from "../../src/forwarding";
import { RetryEvent, RetryEventKind, RetryHistory, simulatedBudget, simulateRetries } from "./simulateRetries";

describe("the retries of several entry processes", () => {
    const lengthMilliseconds = 45_000;
    /** The number of histories by hand: RETRY_HISTORIES=10000. */
    const historyCount = Number(process.env.RETRY_HISTORIES ?? 300);

    function play(history: RetryHistory) {
        return simulateRetries(
            history,
            state => createRetryBudgets(simulatedBudget.share, simulatedBudget.reserve, state.getEntryCount),
        );
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
