import Heap from "heap-js";
import {
    createEnginePlacement,
    createLoadShedding,
    createLoadTracker,
    createPromptDescriptor,
} from "../../src/forwarding";
import { createNodeRanking } from "../../src/routing";
import { Clock, createRandomSource } from "../../src/runtime";
import { addUpLoads, createFleetLoads, fleetLoadFactKind, ownLoadFactKind } from "../../src/serverLoads";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestInstance } from "../feed/createTestFeed";

/** The load of a simulation. */
export interface ContentionOptions {
    seed: number;
    /** How many times its usual demand the first workspace sends. */
    excessFactor: number;
    /** The usual requests a second of each workspace. */
    requestsPerSecond: number;
    entryCount?: number;
    engineCount?: number;
    /** Whether engines prefill the most urgent prompts first, or all in their order. */
    isByPriority: boolean;
    /** Whether load is shed. */
    sheds: boolean;
    /** When engines and the leader report their load for the last time, in milliseconds. */
    lastReportMilliseconds?: number;
}

/** What a simulation has shown. */
export interface ContentionResult {
    /** The mean payoff of a request of the workspaces that send their usual demand, and of the first one. */
    othersPayoff: number;
    firstPayoff: number;
    refusals: number;
    /** The refusals while under half of all slots were taken and nothing waited. */
    needlessRefusals: number;
    /** The refusals after the last report of load has expired. */
    blindRefusals: number;
    /** The share of each kind's requests of all workspaces that were served. */
    servedShares: { summary: number; label: number; };
}

const endMilliseconds = 30_000;
const warmUpMilliseconds = 5_000;
const exchangeMilliseconds = 250;
/** The time after which neither sums nor reports are used, and an exchange before that. */
const validityMilliseconds = 1_750;
const workspaceCount = 16;
const slots = 48;
const memoryTokens = 227_042;
const tokensPerMillisecond = 64;
const decodeMilliseconds = 900;
const kinds = {
    summary: { shared: 5_382, own: 6_610, target: 2_000, limit: 15_000, rank: 1, subjectsPerEngine: 10 },
    label: { shared: 568, own: 1_800, target: 500, limit: 3_000, rank: 0, subjectsPerEngine: 28 },
};
type KindName = keyof typeof kinds;

interface Run {
    id: string;
    workspace: number;
    kind: KindName;
    subject: string;
    firstSent: number;
    entry: number;
    engine: number;
    prefillTokens: number;
}

interface Event {
    time: number;
    act(): void;
}

/** Plays the requests of 16 workspaces through placement and load shedding of several entry processes in virtual time. */
export function simulateContention(options: ContentionOptions): ContentionResult {
    const { excessFactor, requestsPerSecond, sheds, lastReportMilliseconds = Infinity } = options;
    const { entryCount = 8, engineCount = 9 } = options;
    const random = createRandomSource(options.seed);
    const events = new Heap<Event>((left, right) => left.time - right.time);
    let now = 0;
    let runCount = 0;
    const clock: Clock = {
        getMonotonicMilliseconds: () => now,
        getWallMilliseconds: () => now,
        sleep: () => new Promise(() => undefined),
    };
    const instances = Array.from(
        { length: engineCount },
        (...[, index]) => createTestInstance({ instanceId: `engine-${index}` }),
    );
    const engines = instances.map(() => ({
        waiting: [] as Run[],
        running: 0,
        prefilling: false,
        usedTokens: 0,
        cache: new Map<string, number>(),
    }));
    const entries = Array.from({ length: entryCount }, (...[, index]) => createEntry(index));
    const leaderFacts = createTestFactStore(clock, "control", [ownLoadFactKind, fleetLoadFactKind]);
    const counts = { others: 0, first: 0, othersPayoff: 0, firstPayoff: 0, refusals: 0, needless: 0, blind: 0 };
    const sent = { summary: 0, label: 0 };
    const served = { summary: 0, label: 0 };
    for (let workspace = 0; workspace < workspaceCount; workspace++) {
        scheduleArrival(workspace);
    }
    exchangeLoads();
    for (let event = events.pop(); event && event.time < endMilliseconds; event = events.pop()) {
        now = event.time;
        event.act();
    }
    return {
        othersPayoff: counts.othersPayoff / counts.others,
        firstPayoff: counts.firstPayoff / counts.first,
        refusals: counts.refusals,
        needlessRefusals: counts.needless,
        blindRefusals: counts.blind,
        servedShares: { summary: served.summary / sent.summary, label: served.label / sent.label },
    };

    function createEntry(index: number) {
        const facts = createTestFactStore(clock, `entry-${index}`, [ownLoadFactKind, fleetLoadFactKind]);
        const fleetLoads = createFleetLoads(facts, clock);
        const loads = createLoadTracker(clock, () => false, fleetLoads);
        const entryRandom = createRandomSource(options.seed + index);
        const placement = createEnginePlacement(loads, createNodeRanking(), clock, 10_000, entryRandom);
        const shedding = createLoadShedding({ loads, getWorkFactor: () => 1, clock, random: entryRandom });
        return { facts, fleetLoads, loads, placement, shedding };
    }

    function after(milliseconds: number, act: () => void): void {
        events.push({ time: now + milliseconds, act });
    }

    function exchangeLoads(): void {
        after(exchangeMilliseconds, exchangeLoads);
        if (now > lastReportMilliseconds) {
            return;
        }
        const sums = addUpLoads(leaderFacts.getAll(ownLoadFactKind).flatMap(({ value }) => value));
        leaderFacts.publish(fleetLoadFactKind, "fleet", sums, exchangeMilliseconds);
        const fleetFacts = leaderFacts.getChanges(0, (...[, kind]) => kind.name === fleetLoadFactKind.name).facts;
        for (const { facts, fleetLoads, loads } of entries) {
            facts.merge(fleetFacts, "leader");
            fleetLoads.reportOwn(loads.getOwnLoads());
            leaderFacts.merge(facts.getChanges(0, (...[, kind]) => kind.name === ownLoadFactKind.name).facts, "entry");
        }
    }

    function scheduleArrival(workspace: number): void {
        const rate = (workspace === 0 ? excessFactor : 1) * requestsPerSecond / 1_000;
        after(-Math.log(1 - random.getFraction()) / rate, () => {
            scheduleArrival(workspace);
            const kind: KindName = random.getFraction() < 0.5 ? "summary" : "label";
            if (isMeasured(now)) {
                counts[workspace === 0 ? "first" : "others"] += 1;
                sent[kind] += 1;
            }
            send(
                workspace,
                kind,
                `${kind} ${random.getInteger(kinds[kind].subjectsPerEngine * engineCount)}`,
                now,
                entryCount,
            );
        });
    }

    /** Counts only requests whose time ends within the simulation. */
    function isMeasured(time: number): boolean {
        return time > warmUpMilliseconds && time < endMilliseconds - kinds.summary.limit;
    }

    function send(workspace: number, kind: KindName, subject: string, firstSent: number, formerEntry: number): void {
        const { shared, own, limit, rank } = kinds[kind];
        const remainingMilliseconds = firstSent + limit - now;
        const index = random.getInteger(entryCount - 1);
        const entry = index < formerEntry ? index : index + 1;
        const { loads, placement, shedding } = entries[entry]!;
        const prompt = createPromptDescriptor({
            model: "large",
            parts: [{ id: subject, tokens: shared }, { id: "own", tokens: own }],
            promptTokens: shared + own,
            maximumOutputTokens: 80,
        });
        const placed = placement.choose(prompt, "", instances, [], memoryTokens)!;
        const demand = {
            service: "models",
            workspace: String(workspace),
            rank,
            shareWeight: 1,
            targetMilliseconds: kinds[kind].target,
            remainingMilliseconds,
            promptTokens: prompt.promptTokens,
            slots,
            memoryTokens,
        };
        const getMissing = (instance: typeof placed) =>
            placement.getExpectedPrefillTokens(prompt, "", instance, instances);
        const decision = sheds
            ? shedding.decide(demand, placed, instances, getMissing)
            : { kind: "send" as const, instance: placed };
        if (decision.kind === "refuse") {
            counts.refusals += 1;
            counts.blind += now > lastReportMilliseconds + validityMilliseconds ? 1 : 0;
            counts.needless += hasRoom() ? 1 : 0;
            if (decision.retryAfterMilliseconds < remainingMilliseconds / 3) {
                after(decision.retryAfterMilliseconds, () => send(workspace, kind, subject, firstSent, entry));
            }
            return;
        }
        const engine = instances.indexOf(decision.instance);
        const { instanceId } = decision.instance;
        const prefillTokens = getMissing(decision.instance);
        const run: Run = {
            id: `run-${runCount++}`,
            workspace,
            kind,
            subject,
            firstSent,
            entry,
            engine,
            prefillTokens,
        };
        loads.recordSent(instanceId, prompt.promptTokens, prefillTokens);
        shedding.recordSent(run.id, demand, instanceId);
        placement.recordSent(run.id, prompt, "", decision.instance);
        engines[engine]!.waiting.push(run);
        startPrefill(engine);
        after(remainingMilliseconds, () => leave(run));
    }

    function hasRoom(): boolean {
        const running = engines.reduce((sum, engine) => sum + engine.running, 0);
        return running < engineCount * slots / 2 && engines.every(({ waiting }) => waiting.length === 0);
    }

    function getTokens(kind: KindName): number {
        return kinds[kind].shared + kinds[kind].own;
    }

    /** Prefills one prompt after the other, in their order, where a slot and memory are free. */
    function startPrefill(index: number): void {
        const engine = engines[index]!;
        const run = (options.isByPriority ? engine.waiting.find(({ kind }) => kind === "label") : undefined)
            ?? engine.waiting[0];
        if (
            !run || engine.prefilling || engine.running >= slots
            || engine.usedTokens + getTokens(run.kind) > memoryTokens
        ) {
            return;
        }
        engine.waiting.splice(engine.waiting.indexOf(run), 1);
        engine.prefilling = true;
        engine.running += 1;
        engine.usedTokens += getTokens(run.kind);
        const { shared, own } = kinds[run.kind];
        const isCached = engine.cache.delete(run.subject);
        engine.cache.set(run.subject, shared);
        let cached = [...engine.cache.values()].reduce((sum, tokens) => sum + tokens, 0);
        for (const [evicted, tokens] of engine.cache) {
            if (cached <= memoryTokens - engine.usedTokens) {
                break;
            }
            engine.cache.delete(evicted);
            cached -= tokens;
        }
        const missing = own + (isCached ? 0 : shared);
        after(missing / tokensPerMillisecond, () => endPrefill(run));
    }

    function endPrefill(run: Run): void {
        const { loads, placement } = entries[run.entry]!;
        const { instanceId } = instances[run.engine]!;
        const engine = engines[run.engine]!;
        const { target, limit } = kinds[run.kind];
        engine.prefilling = false;
        loads.recordPrefillEnd(instanceId, run.prefillTokens);
        placement.recordPrefillEnd(run.id);
        if (now <= lastReportMilliseconds) {
            loads.recordReport(instanceId, { running: engine.running, waiting: engine.waiting.length, slots });
        }
        const milliseconds = now - run.firstSent;
        const payoff = milliseconds <= target ? 1 : milliseconds <= limit ? 0.3 : 0;
        if (isMeasured(run.firstSent)) {
            counts[run.workspace === 0 ? "firstPayoff" : "othersPayoff"] += payoff;
            served[run.kind] += payoff > 0 ? 1 : 0;
        }
        after(decodeMilliseconds, () => {
            engine.running -= 1;
            engine.usedTokens -= getTokens(run.kind);
            loads.recordAttemptEnd(instanceId, getTokens(run.kind));
            entries[run.entry]!.shedding.recordEnd(run.id, "complete");
            startPrefill(run.engine);
        });
        startPrefill(run.engine);
    }

    /** Ends a run that still waits for its prefill when its caller's time is over. */
    function leave(run: Run): void {
        const { waiting } = engines[run.engine]!;
        const index = waiting.indexOf(run);
        if (index < 0) {
            return;
        }
        waiting.splice(index, 1);
        const { loads, placement, shedding } = entries[run.entry]!;
        const { instanceId } = instances[run.engine]!;
        loads.recordPrefillEnd(instanceId, run.prefillTokens);
        placement.recordPrefillEnd(run.id);
        loads.recordAttemptEnd(instanceId, getTokens(run.kind));
        shedding.recordEnd(run.id, "other");
        startPrefill(run.engine);
    }
}
