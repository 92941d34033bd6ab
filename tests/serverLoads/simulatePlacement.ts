import { createEnginePlacement, createLoadTracker, createPromptDescriptor } from "../../src/forwarding";
import { createNodeRanking } from "../../src/routing";
import { Clock, createRandomSource } from "../../src/runtime";
import { addUpLoads, createFleetLoads, fleetLoadFactKind, ownLoadFactKind } from "../../src/serverLoads";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestInstance } from "../feed/createTestFeed";
import { createNoise } from "../serverSpeeds/createNoise";

/** The load of a simulation. */
export interface PlacementSimulationOptions {
    seed: number;
    entryCount: number;
    engineCount: number;
    /** The requests a second for each engine: summaries of long documents and short labels. */
    summariesPerSecond: number;
    labelsPerSecond: number;
    /** The share of the summaries that are about one document. */
    hotShare?: number;
    /** How long requests run after their first token, in milliseconds. */
    decodeMilliseconds?: number;
    /** Whether entry processes know the load that the others have caused. */
    sharesLoads: boolean;
    /** The lasting work factors of the engines, one after the other; all have the usual speed without noise by default. */
    lastingFactors?: readonly number[];
    /** Whether engines report their speed. */
    reportsSpeeds?: boolean;
}

/** What a simulation has shown. */
export interface PlacementSimulationResult {
    /** The share of the requests whose first token came later than their objective. */
    lateShare: number;
    /** The share of the requests that came to an engine whose memory they overfilled, so that others are preempted. */
    overfullShare: number;
    /** The share of the tokens of shared prefixes that an engine read although one had read them before. */
    rereadShare: number;
    /** The largest number of requests at one engine, in relation to the mean. */
    imbalance: number;
}

interface Pending {
    firstTokenMilliseconds: number;
    entry: number;
    instanceId: string;
    promptTokens: number;
    prefillTokens: number;
}

const endMilliseconds = 12_000;
const warmUpMilliseconds = 4_000;
const exchangeMilliseconds = 250;
const tokensPerMillisecond = 56;
const memoryTokens = 147_000;
/** The share of the missed prefixes that an engine fetches from another one or a store. */
const fetchedShare = 0.6;
const endIntervalMilliseconds = 5;
const kinds = {
    summary: { sharedTokens: 5_400, ownTokens: 6_600, objectiveMilliseconds: 1_000, subjectsPerEngine: 10 },
    label: { sharedTokens: 570, ownTokens: 1_800, objectiveMilliseconds: 610, subjectsPerEngine: 28 },
};

/** Plays requests through the placement of many entry processes; each engine prefills prompts one after the other. */
export function simulatePlacement(options: PlacementSimulationOptions): PlacementSimulationResult {
    const { entryCount, engineCount, hotShare = 0, decodeMilliseconds = 900 } = options;
    const random = createRandomSource(options.seed);
    let now = 0;
    const clock: Clock = {
        getMonotonicMilliseconds: () => now,
        getWallMilliseconds: () => now,
        sleep: () => new Promise(() => undefined),
    };
    const engines = Array.from(
        { length: engineCount },
        (...[, index]) => createTestInstance({ instanceId: `engine-${index}` }),
    );
    const entries = Array.from({ length: entryCount }, (...[, index]) => createEntry(index));
    const leaderFacts = createTestFactStore(clock, "control", [ownLoadFactKind, fleetLoadFactKind]);
    const factors = new Map(engines.map(({ instanceId }, index) => [instanceId, createWorkFactor(index)]));
    const freeAt = new Map<string, number>();
    const cachedTokens = new Map<string, number>();
    /** The tokens of the prefixes that each engine has cached, the least recently used first. */
    const caches = new Map(engines.map(({ instanceId }) => [instanceId, new Map<string, number>()]));
    const requestCounts = new Map<string, number>();
    const usedTokens = new Map<string, number>();
    const prefills: Pending[] = [];
    const decodes: Pending[] = [];
    const rate = (options.summariesPerSecond + options.labelsPerSecond) * engineCount / 1_000;
    let nextExchange = 0;
    let nextEnd = 0;
    let count = 0;
    let lateCount = 0;
    let overfullCount = 0;
    let sharedTokens = 0;
    let rereadTokens = 0;
    while (now < endMilliseconds) {
        now += -Math.log(1 - random.getFraction()) / rate;
        if (now >= nextEnd) {
            endPrefills();
            nextEnd = now + endIntervalMilliseconds;
        }
        if (options.sharesLoads && now >= nextExchange) {
            exchangeLoads();
            nextExchange = now + exchangeMilliseconds;
        }
        sendRequest();
    }
    const sentCounts = [...requestCounts.values()];
    return {
        lateShare: lateCount / count,
        overfullShare: overfullCount / count,
        rereadShare: rereadTokens / sharedTokens,
        imbalance: Math.max(...sentCounts) / (sentCounts.reduce((sum, value) => sum + value, 0) / engineCount),
    };

    function createEntry(index: number) {
        const facts = createTestFactStore(clock, `entry-${index}`, [ownLoadFactKind, fleetLoadFactKind]);
        const fleetLoads = createFleetLoads(facts, clock);
        const loads = createLoadTracker(clock, () => false, fleetLoads);
        const entryRandom = createRandomSource(options.seed + index);
        const placement = createEnginePlacement(loads, createNodeRanking(), clock, 10_000, entryRandom);
        return { facts, fleetLoads, loads, placement };
    }

    /** Distributes the sums of what the entry processes have reported, and lets them report anew. */
    function exchangeLoads(): void {
        const sums = addUpLoads(leaderFacts.getAll(ownLoadFactKind).flatMap(({ value }) => value));
        leaderFacts.publish(fleetLoadFactKind, "fleet", sums, exchangeMilliseconds);
        const fleetFacts = leaderFacts.getChanges(0, (...[, kind]) => kind.name === fleetLoadFactKind.name).facts;
        for (const { facts, fleetLoads, loads } of entries) {
            facts.merge(fleetFacts, "leader");
            fleetLoads.reportOwn(loads.getOwnLoads());
            leaderFacts.merge(facts.getChanges(0, (...[, kind]) => kind.name === ownLoadFactKind.name).facts, "entry");
        }
    }

    /** Creates the work factor of an engine, which is read at increasing times. */
    function createWorkFactor(index: number): () => number {
        const { lastingFactors } = options;
        if (!lastingFactors) {
            return () => 1;
        }
        const getNext = createNoise(lastingFactors[index % lastingFactors.length]!, createRandomSource(index));
        let factor = getNext();
        let time = 0;
        return () => {
            for (; time < now; time++) {
                factor = getNext();
            }
            return factor;
        };
    }

    function sendRequest(): void {
        const { summariesPerSecond, labelsPerSecond } = options;
        const isSummary = random.getFraction() < summariesPerSecond / (summariesPerSecond + labelsPerSecond);
        const kind = isSummary ? kinds.summary : kinds.label;
        const isHot = isSummary && random.getFraction() < hotShare;
        const subject = isHot ? 0 : random.getInteger(kind.subjectsPerEngine * engineCount);
        const prefix = `${isSummary ? "s" : "l"}${subject}`;
        const prompt = createPromptDescriptor({
            model: "large",
            parts: [{ id: prefix, tokens: kind.sharedTokens }, { id: "own", tokens: kind.ownTokens }],
            promptTokens: kind.sharedTokens + kind.ownTokens,
            maximumOutputTokens: 80,
        });
        const index = random.getInteger(entryCount);
        const { loads, placement } = entries[index]!;
        const engine = placement.choose(prompt, "", engines, [], memoryTokens)!;
        const { instanceId } = engine;
        const prefillTokens = placement.getExpectedPrefillTokens(prompt, "", engine, engines);
        loads.recordSent(instanceId, prompt.promptTokens, prefillTokens);
        placement.recordSent(`request-${count}`, prompt, "", engine);
        usedTokens.set(instanceId, (usedTokens.get(instanceId) ?? 0) + prompt.promptTokens);
        requestCounts.set(instanceId, (requestCounts.get(instanceId) ?? 0) + 1);
        const readsShared = !useCache(instanceId, prefix, kind.sharedTokens) && random.getFraction() >= fetchedShare;
        const readTokens = kind.ownTokens + (readsShared ? kind.sharedTokens : 0);
        const workFactor = factors.get(instanceId)!();
        const end = Math.max(now, freeAt.get(instanceId) ?? 0) + readTokens / tokensPerMillisecond * workFactor;
        freeAt.set(instanceId, end);
        prefills.push({
            firstTokenMilliseconds: end,
            entry: index,
            instanceId,
            promptTokens: prompt.promptTokens,
            prefillTokens,
        });
        if (now > warmUpMilliseconds) {
            count += 1;
            sharedTokens += kind.sharedTokens;
            rereadTokens += readsShared ? kind.sharedTokens : 0;
            overfullCount += usedTokens.get(instanceId)! > memoryTokens ? 1 : 0;
            lateCount += end - now > kind.objectiveMilliseconds ? 1 : 0;
        }
    }

    /** Caches a prefix in the memory that the prompts in flight leave; returns whether it was cached before. */
    function useCache(instanceId: string, prefix: string, tokens: number): boolean {
        const cache = caches.get(instanceId)!;
        const wasCached = cache.delete(prefix);
        cache.set(prefix, tokens);
        let sum = (cachedTokens.get(instanceId) ?? 0) + (wasCached ? 0 : tokens);
        const freeTokens = memoryTokens - usedTokens.get(instanceId)!;
        for (const [evicted, evictedTokens] of cache) {
            if (sum <= freeTokens) {
                break;
            }
            cache.delete(evicted);
            sum -= evictedTokens;
        }
        cachedTokens.set(instanceId, sum);
        return wasCached;
    }

    function endPrefills(): void {
        for (const pending of takeUntil(prefills, now)) {
            const { loads } = entries[pending.entry]!;
            loads.recordPrefillEnd(pending.instanceId, pending.prefillTokens);
            if (options.reportsSpeeds) {
                const workPercent = 100 * factors.get(pending.instanceId)!();
                loads.recordReport(pending.instanceId, { running: 0, waiting: 0, slots: 64, workPercent });
            }
            decodes.push(pending);
        }
        for (const { entry, instanceId, promptTokens } of takeUntil(decodes, now - decodeMilliseconds)) {
            entries[entry]!.loads.recordAttemptEnd(instanceId, promptTokens);
            usedTokens.set(instanceId, usedTokens.get(instanceId)! - promptTokens);
        }
    }
}

/** Removes and returns what got its first token by a time. */
function takeUntil(pending: Pending[], milliseconds: number): readonly Pending[] {
    const ended = pending.filter(({ firstTokenMilliseconds }) => firstTokenMilliseconds <= milliseconds);
    const remaining = pending.filter(({ firstTokenMilliseconds }) => firstTokenMilliseconds > milliseconds);
    pending.splice(0, pending.length, ...remaining);
    return ended;
}
