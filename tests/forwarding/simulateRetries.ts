/*
 * Simulates the retries of several entry processes to one service, which take all that their budgets allow while servers
 * fail. Processes are killed and started again, lose contact with control, and follow new leaders.
 */
import { create } from "@bufbuild/protobuf";
import { createEntryRegistry, EntryRegistry, FeedState } from "../../src/feed";
import { RetryBudgets } from "../../src/forwarding";
import { readClocks } from "../../src/membership";
import { PollOutcome, PollResponseSchema } from "../../src/protocol";
import { Clock } from "../../src/runtime";
import { createEmptyTestFeedState } from "../feed/createTestFeed";

const stepMilliseconds = 100;
const pollIntervalMilliseconds = 400;
const restartMilliseconds = 500;
const millisecondsPerSecond = 1_000;

/** The settings of the budget that the entry processes share. */
export const simulatedBudget = { share: 0.2, reserve: 52, windowMilliseconds: 10_000 };

/** What happens in a history. */
export enum RetryEventKind {
    /** A process is killed, and starts again after a moment. */
    Kill = "kill",
    /** All processes are killed, and start again after a moment. */
    KillAll = "killAll",
    /** A process can't reach control for a time. */
    Cut = "cut",
    /** A process is down for a time. */
    Down = "down",
    /** Another control member begins to lead, which has heard of no entry process. */
    NewLeader = "newLeader",
}

/** An event of a history. */
export interface RetryEvent {
    kind: RetryEventKind;
    /** When it happens, in milliseconds. */
    atMilliseconds: number;
    /** How long a cut or an outage takes, in milliseconds. */
    forMilliseconds: number;
    /** The number of the process that it meets. */
    entry: number;
}

/** A history of the entry processes. */
export interface RetryHistory {
    entryCount: number;
    requestsPerSecond: number;
    /** How long it takes, in milliseconds. */
    lengthMilliseconds: number;
    /** When servers fail all requests, in milliseconds from and to. */
    failures: readonly { fromMilliseconds: number; forMilliseconds: number; }[];
    events: readonly RetryEvent[];
}

/** The window in which the retries were the most beyond the allowance, or the closest to it. */
export interface RetryWindow {
    retries: number;
    allowed: number;
}

interface SimulatedEntry {
    state: FeedState;
    budgets: RetryBudgets;
    startMilliseconds: number;
    cutUntilMilliseconds: number;
}

/**
 * Plays a history.
 * @param history - The history.
 * @param createBudgets - Creates the budgets of a process that starts.
 * @returns The window with the most retries, as a share of what the budget allows in it, and all retries.
 */
export function simulateRetries(
    history: RetryHistory,
    createBudgets: (state: FeedState, clock: Clock) => RetryBudgets,
): { worst: RetryWindow; retryCount: number; } {
    const service = "service";
    let now = 0;
    const clock: Clock = {
        getMonotonicMilliseconds: () => now,
        getWallMilliseconds: () => now,
        sleep: () => Promise.resolve(),
    };
    let registry: EntryRegistry = createEntryRegistry(clock);
    const entries = Array.from({ length: history.entryCount }, () => startEntry(0));
    const events = [...history.events].sort((left, right) => left.atMilliseconds - right.atMilliseconds);
    const retryTimes: number[] = [];
    const requestCounts: number[] = [];
    let dueRequests = 0;
    let nextEntry = 0;
    for (; now < history.lengthMilliseconds; now += stepMilliseconds) {
        while (events.length > 0 && events[0]!.atMilliseconds <= now) {
            applyEvent(events.shift()!);
        }
        entries.filter(isRunning).forEach(poll);
        sendRequests();
        if (history.failures.some(failure => isWithin(failure.fromMilliseconds, failure.forMilliseconds))) {
            entries.filter(isRunning).forEach(takeAllRetries);
        }
    }
    return { worst: getWorstWindow(retryTimes, requestCounts), retryCount: retryTimes.length };

    function startEntry(startMilliseconds: number): SimulatedEntry {
        const state = createEmptyTestFeedState(clock);
        return { state, budgets: createBudgets(state, clock), startMilliseconds, cutUntilMilliseconds: 0 };
    }

    function isRunning({ startMilliseconds }: SimulatedEntry): boolean {
        return startMilliseconds <= now;
    }

    function isWithin(fromMilliseconds: number, forMilliseconds: number): boolean {
        return now >= fromMilliseconds && now < fromMilliseconds + forMilliseconds;
    }

    function applyEvent({ kind, forMilliseconds, entry }: RetryEvent): void {
        const index = entry % entries.length;
        switch (kind) {
            case RetryEventKind.Kill:
                entries[index] = startEntry(now + restartMilliseconds);
                return;
            case RetryEventKind.KillAll:
                entries.forEach((...[, killed]) => entries[killed] = startEntry(now + restartMilliseconds));
                return;
            case RetryEventKind.Cut:
                entries[index]!.cutUntilMilliseconds = now + forMilliseconds;
                return;
            case RetryEventKind.Down:
                entries[index] = startEntry(now + restartMilliseconds + forMilliseconds);
                return;
            case RetryEventKind.NewLeader:
                registry = createEntryRegistry(clock);
                return;
        }
    }

    /** Polls control, each process at moments of its own. */
    function poll(entry: SimulatedEntry): void {
        const index = entries.indexOf(entry);
        const isDue = (now + index * stepMilliseconds) % pollIntervalMilliseconds === 0;
        if (isDue && entry.cutUntilMilliseconds <= now) {
            registry.recordPoll(`entry-${index}`);
            const response = { outcome: PollOutcome.CURRENT, entryCount: registry.getCount() };
            entry.state.applyResponse(create(PollResponseSchema, response), readClocks(clock));
        }
    }

    function sendRequests(): void {
        let count = 0;
        for (dueRequests += history.requestsPerSecond * stepMilliseconds / millisecondsPerSecond; dueRequests >= 1;) {
            dueRequests -= 1;
            nextEntry = (nextEntry + 1) % entries.length;
            if (isRunning(entries[nextEntry]!)) {
                entries[nextEntry]!.budgets.addFirstAttempt(service);
                count += 1;
            }
        }
        requestCounts.push(count);
    }

    function takeAllRetries({ budgets }: SimulatedEntry): void {
        while (budgets.tryTakeRetry(service)) {
            retryTimes.push(now);
        }
    }
}

/** Gets the worst window that ends with a retry. */
function getWorstWindow(retryTimes: readonly number[], requestCounts: readonly number[]): RetryWindow {
    const { share, reserve, windowMilliseconds } = simulatedBudget;
    const totals = [0];
    requestCounts.forEach(count => totals.push(totals.at(-1)! + count));
    let worst = { retries: 0, allowed: reserve };
    let first = 0;
    retryTimes.forEach((endMilliseconds, index) => {
        while (retryTimes[first]! <= endMilliseconds - windowMilliseconds) {
            first += 1;
        }
        const requests = [0, windowMilliseconds / 2, windowMilliseconds].map(shift =>
            countRequests(endMilliseconds - shift)
        );
        const window = { retries: index + 1 - first, allowed: share * Math.max(...requests) + reserve };
        if (window.retries / window.allowed > worst.retries / worst.allowed) {
            worst = window;
        }
    });
    return worst;

    function countRequests(endMilliseconds: number): number {
        const end = endMilliseconds / stepMilliseconds + 1;
        return getTotal(end) - getTotal(end - windowMilliseconds / stepMilliseconds);
    }

    function getTotal(stepCount: number): number {
        return totals[Math.max(0, Math.min(stepCount, totals.length - 1))]!;
    }
}
