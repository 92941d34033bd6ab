/*
 * Simulates the requests of one workspace through several entry processes and the leader, in virtual time: the real quotas,
 * ledger, feed state and entry registry, with polls that take time and get lost. Requests wait before they are sent, are
 * refused by backend servers and sent again.
 */
import { create } from "@bufbuild/protobuf";
import { QuotaUnit, WorkspaceQuota } from "../../src/documents";
import { createEntryRegistry, EntryRegistry, FeedState } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { ClockReading, readClocks } from "../../src/membership";
import { createMetrics } from "../../src/metrics";
import { PollOutcome, PollRequest, PollRequestSchema, PollResponse, PollResponseSchema } from "../../src/protocol";
import { createRandomSource } from "../../src/runtime";
import { createQuotaLedger, createQuotaView, QuotaBounds, QuotaLedger } from "../../src/workspaceQuotas";
import { createWorkspaceQuotas, QuotaCharge, WorkspaceQuotas } from "../../src/workspaceQuotas";
import { createTestDocument } from "../documents/createTestDocument";
import { createEmptyTestFeedState } from "../feed/createTestFeed";
import { createEventClock } from "./createEventClock";

const workspace = "alpha";
const pollWaitMilliseconds = 400;
const urgentDelayMilliseconds = 25;
const timeoutMilliseconds = 600;
const restartMilliseconds = 500;
const callerMilliseconds = 15_000;

/** What happens in a history. */
export enum QuotaEventKind {
    Kill = "kill",
    KillAll = "killAll",
    /** Half of the processes stop and are not replaced. */
    ScaleDown = "scaleDown",
    /** A process can't reach control for a time; half of its polls still reach it. */
    Cut = "cut",
    /** A process stands still for a time. */
    Freeze = "freeze",
    /** Another member leads after a time without a leader. */
    NewLeader = "newLeader",
    /** The quota is multiplied by a factor. */
    Quota = "quota",
    /** Requests wait before they are sent, in all processes. */
    Queueing = "queueing",
    /** Requests wait before they are sent, and are sent all at once at the end. */
    Holding = "holding",
}

/** A history of the entry processes. */
export interface QuotaHistory {
    seed: number;
    entryCount: number;
    /** How many of the entry processes run from the start; the others start at a random time. */
    firstCount: number;
    quota: WorkspaceQuota;
    bounds: QuotaBounds;
    /** The demand as a share of the quota, and from when to when it is several times as large. */
    demand: number;
    surge: { factor: number; fromMilliseconds: number; forMilliseconds: number; };
    /** The share of the requests that arrive at the first entry process. */
    skew: number;
    /** The tokens of the smallest large request; others have up to four times as many. */
    largeTokens: number;
    lengthMilliseconds: number;
    /** When requests begin to be counted. */
    countFromMilliseconds: number;
    /** How long an attempt may take to reach its server. */
    deliveryMilliseconds: number;
    /** The share of polls that are slow, and a third of which are lost. */
    slowShare: number;
    events: readonly {
        kind: QuotaEventKind;
        atMilliseconds: number;
        forMilliseconds: number;
        entry: number;
        factor: number;
    }[];
}

/** What a history led to. */
export interface QuotaSimulation {
    /** The largest share of the allowed amount that arrived in a window. */
    worst: number;
    offered: number;
    admitted: number;
    waited: number;
    refused: number;
    /** The refused requests that one bucket for all processes, without any delay, would have admitted. */
    lost: number;
    polls: number;
    arrivedAmount: number;
}

interface SimulatedEntry {
    id: string;
    state: FeedState;
    quotas: WorkspaceQuotas;
    isAlive: boolean;
    cutUntil: number;
    frozenUntil: number;
    isUrgent: boolean;
    /** Gives up the poll that waits; undefined where none does. */
    interrupt: (() => void) | undefined;
}

/** Plays a history. */
export async function simulateQuotas(history: QuotaHistory): Promise<QuotaSimulation> {
    const { bounds } = history;
    const random = createRandomSource(history.seed);
    const { clock, schedule, run } = createEventClock();
    const logger = createSilentLogger();
    const result: QuotaSimulation = {
        worst: 0,
        offered: 0,
        admitted: 0,
        waited: 0,
        refused: 0,
        lost: 0,
        polls: 0,
        arrivedAmount: 0,
    };
    const arrivals: { time: number; amount: number; }[] = [];
    const quotaChanges = [{ time: 0, quota: history.quota }];
    let document = createDocument(1);
    let leader: { registry: EntryRegistry; ledger: QuotaLedger; } | undefined = createLeader();
    let queueingUntil = 0;
    let heldUntil = 0;
    const ideal = { level: history.quota.burst, time: 0 };
    let startCount = 0;
    const entries: SimulatedEntry[] = [];
    for (let index = 0; index < history.entryCount; index++) {
        startEntry(index, index < history.firstCount ? 0 : random.getFraction() * history.lengthMilliseconds);
    }
    history.events.forEach(event => schedule(event.atMilliseconds, () => applyEvent(event)));
    scheduleRequest();
    await run(history.lengthMilliseconds);
    arrivals.sort((left, right) => left.time - right.time);
    result.worst = getWorstShare();
    return result;

    function now(): number {
        return clock.getMonotonicMilliseconds();
    }

    function createDocument(version: number) {
        const { quota } = quotaChanges.at(-1)!;
        return createTestDocument({
            version,
            workspaces: [{ name: workspace, apiKeys: ["key"], priority: 1, isIsolated: false, quota }],
        });
    }

    function createLeader() {
        const ledger = createQuotaLedger({
            getQuotas: createQuotaView(() => document),
            bounds,
            clock,
            metrics: createMetrics(),
        });
        return { registry: createEntryRegistry(clock), ledger };
    }

    function startEntry(index: number, atMilliseconds: number): void {
        const state = createEmptyTestFeedState(clock);
        startCount += 1;
        const quotas = createWorkspaceQuotas({
            reporter: `start-${startCount}`,
            state,
            bounds,
            clock,
            random,
            metrics: createMetrics(),
        });
        const entry: SimulatedEntry = {
            id: `entry-${index}`,
            state,
            quotas,
            isAlive: true,
            cutUntil: 0,
            frozenUntil: 0,
            isUrgent: false,
            interrupt: undefined,
        };
        quotas.addUrgentListener(() => {
            entry.isUrgent = true;
            entry.interrupt?.();
        });
        entries[index] = entry;
        runIn(entry, atMilliseconds - now() + random.getFraction() * pollWaitMilliseconds, () => poll(entry));
    }

    /** Runs something in a process, after its standstill, unless it was killed. */
    function runIn(entry: SimulatedEntry, delayMilliseconds: number, action: () => void): void {
        schedule(now() + delayMilliseconds, () => {
            if (entry.isAlive && entry.frozenUntil > now()) {
                runIn(entry, entry.frozenUntil - now(), action);
            }
            else if (entry.isAlive) {
                action();
            }
        });
    }

    function getDelay(): number {
        const isSlow = random.getFraction() < history.slowShare;
        return random.getFraction() * (isSlow ? 500 : 10);
    }

    function poll(entry: SimulatedEntry): void {
        const waits = !entry.isUrgent;
        entry.isUrgent = false;
        result.polls += 1;
        const request = create(PollRequestSchema, {
            entryId: entry.id,
            documentVersion: BigInt(entry.state.getRouteTable()?.document.version ?? 0),
            waitMilliseconds: waits ? pollWaitMilliseconds : 0,
            ...entry.quotas.createPollFields(),
        });
        const sendTime = readClocks(clock);
        let isOver = false;
        const pollAgain = (delay: number) => {
            if (!isOver) {
                isOver = true;
                entry.interrupt = undefined;
                runIn(entry, delay, () => poll(entry));
            }
        };
        entry.interrupt = waits ? () => pollAgain(urgentDelayMilliseconds) : undefined;
        runIn(entry, timeoutMilliseconds + request.waitMilliseconds, () => pollAgain(random.getFraction() * 150));
        if (isCut(entry) && random.getFraction() < 0.5) {
            return;
        }
        schedule(now() + getDelay(), () =>
            answer(request, response => {
                if (isCut(entry) || random.getFraction() < history.slowShare / 3) {
                    return;
                }
                runIn(entry, getDelay(), () => {
                    if (!isOver) {
                        entry.quotas.prepareResponse();
                        entry.state.applyResponse(response, sendTime as ClockReading);
                        entry.quotas.readResponse(response);
                        pollAgain(entry.isUrgent ? urgentDelayMilliseconds : 0);
                    }
                });
            }));
    }

    function isCut({ cutUntil }: SimulatedEntry): boolean {
        return cutUntil > now();
    }

    function answer(request: PollRequest, respond: (response: PollResponse) => void): void {
        const first = leader;
        first?.registry.recordPoll(request.entryId);
        first?.ledger.readPoll(request);
        const waits = Number(request.documentVersion) === document.version;
        schedule(now() + (waits ? request.waitMilliseconds : 0) + random.getFraction() * 5, () => {
            if (!first || leader !== first) {
                return;
            }
            respond(create(PollResponseSchema, {
                outcome: PollOutcome.CURRENT,
                documentVersion: BigInt(document.version),
                document: Buffer.from(JSON.stringify(document)),
                entryCount: first.registry.getCount(),
                ...first.ledger.createResponseFields(request),
            }));
        });
    }

    function applyEvent({ kind, forMilliseconds, entry: number, factor }: QuotaHistory["events"][number]): void {
        const index = number % entries.length;
        switch (kind) {
            case QuotaEventKind.Kill:
                kill(index);
                return;
            case QuotaEventKind.KillAll:
                entries.forEach((...[, each]) => kill(each));
                return;
            case QuotaEventKind.ScaleDown: {
                const running = entries.filter(({ isAlive }) => isAlive);
                running.slice(Math.ceil(running.length / 2)).forEach(each => each.isAlive = false);
                return;
            }
            case QuotaEventKind.Cut:
                entries[index]!.cutUntil = now() + forMilliseconds;
                return;
            case QuotaEventKind.Freeze:
                entries[index]!.frozenUntil = now() + forMilliseconds;
                return;
            case QuotaEventKind.NewLeader:
                leader = undefined;
                schedule(now() + Math.min(forMilliseconds, 2_000), () => leader = createLeader());
                return;
            case QuotaEventKind.Quota: {
                const { quota } = quotaChanges.at(-1)!;
                quotaChanges.push({
                    time: now(),
                    quota: { ...quota, amountPerSecond: quota.amountPerSecond * factor, burst: quota.burst * factor },
                });
                document = createDocument(document.version + 1);
                return;
            }
            case QuotaEventKind.Queueing:
                queueingUntil = now() + forMilliseconds;
                return;
            case QuotaEventKind.Holding:
                heldUntil = now() + forMilliseconds;
                return;
        }
    }

    function kill(index: number): void {
        entries[index]!.isAlive = false;
        startEntry(index, now() + restartMilliseconds + random.getFraction() * 1_000);
    }

    function scheduleRequest(): void {
        const { factor, fromMilliseconds, forMilliseconds } = history.surge;
        const isSurge = now() >= fromMilliseconds && now() < fromMilliseconds + forMilliseconds;
        const perSecond = history.demand * (isSurge ? factor : 1) * history.quota.amountPerSecond / getMeanAmount();
        const delay = -Math.log(1 - random.getFraction()) / perSecond * 1_000;
        schedule(now() + delay, () => {
            const running = entries.filter(({ isAlive }) => isAlive);
            const index = random.getFraction() < history.skew ? 0 : random.getInteger(running.length);
            const entry = running[index]!;
            runIn(entry, 0, () => void sendRequest(entry));
            scheduleRequest();
        });
    }

    function getMeanAmount(): number {
        return history.quota.unit === QuotaUnit.Tokens ? 0.85 * 2_400 + 0.15 * 2.5 * history.largeTokens : 1;
    }

    function getAmount(): number {
        if (history.quota.unit === QuotaUnit.Requests) {
            return 1;
        }
        return random.getFraction() < 0.85 ? 2_400 : history.largeTokens * (1 + random.getInteger(4));
    }

    async function sendRequest(entry: SimulatedEntry): Promise<void> {
        if (!entry.state.getRouteTable()) {
            return;
        }
        const tokens = getAmount();
        const signal = new AbortController().signal;
        const counted = Number(now() >= history.countFromMilliseconds);
        result.offered += counted;
        const isIdeallyAdmitted = tryTakeIdeally(tokens);
        const decision = entry.quotas.admit({
            workspace,
            tokens,
            remainingMilliseconds: callerMilliseconds,
            signal,
            logger,
        });
        result.waited += decision instanceof Promise ? counted : 0;
        const { kind, ...decided } = await decision;
        if (kind === "refused") {
            result.refused += counted;
            result.lost += isIdeallyAdmitted ? counted : 0;
            return;
        }
        result.admitted += counted;
        const { charge } = decided as { charge: QuotaCharge | undefined; };
        const queueingWait = queueingUntil > now() ? random.getFraction() * (queueingUntil - now() + 500) : 0;
        const wait = heldUntil > now() ? heldUntil - now() : queueingWait;
        runIn(entry, wait + random.getFraction() * 5, () => sendAttempt(entry, charge, tokens, 3));
    }

    function tryTakeIdeally(amount: number): boolean {
        const { amountPerSecond, burst } = quotaChanges.at(-1)!.quota;
        ideal.level = Math.min(burst, ideal.level + (now() - ideal.time) / 1_000 * amountPerSecond);
        ideal.time = now();
        const isAdmitted = amount <= ideal.level || ideal.level >= burst;
        ideal.level -= isAdmitted ? amount : 0;
        return isAdmitted;
    }

    function sendAttempt(
        entry: SimulatedEntry,
        charge: QuotaCharge | undefined,
        amount: number,
        triesLeft: number,
    ): void {
        if (triesLeft === 0 || charge?.prepareSending(false) !== undefined) {
            charge?.end(false);
            return;
        }
        charge?.recordSent();
        if (random.getFraction() < 0.2) {
            const refusalDelay = random.getFraction() * (random.getFraction() < 0.1 ? 3_000 : 40);
            runIn(entry, refusalDelay, () => sendAttempt(entry, charge, amount, triesLeft - 1));
            return;
        }
        arrivals.push({ time: now() + random.getFraction() * history.deliveryMilliseconds, amount });
        result.arrivedAmount += amount;
        runIn(entry, random.getFraction() * 4_000, () => charge?.end(true));
    }

    function getWorstShare(): number {
        let first = 0;
        let amount = 0;
        let worst = 0;
        for (const arrival of arrivals) {
            amount += arrival.amount;
            while (arrivals[first]!.time <= arrival.time - bounds.windowMilliseconds) {
                amount -= arrivals[first]!.amount;
                first += 1;
            }
            worst = Math.max(worst, amount / getAllowed(arrival.time));
        }
        return worst;
    }

    /** Gets what a window that ends at a time may have. A lowered quota binds one window after it came into force. */
    function getAllowed(time: number): number {
        const oldest = time - 2 * bounds.windowMilliseconds;
        return Math.max(
            ...quotaChanges
                .filter(({ time: from }, index) =>
                    from <= time && (quotaChanges[index + 1]?.time ?? Infinity) >= oldest
                )
                .map(({ quota: { amountPerSecond, burst } }) =>
                    (amountPerSecond * bounds.windowMilliseconds / 1_000 + burst) * (1 + bounds.overshoot)
                    + bounds.slack
                ),
        );
    }
}
