/*
 * Chooses an engine for a prompt, for traffic whose prompts share long prefixes and engines with uneven load.
 * Rendezvous hashing gives each shared prefix the same owners in all entry processes without exchanging state. A prompt
 * goes to another engine only where the owner's load costs more than another prefill of the prefix; that engine then
 * fetches the prefix from one that holds it. Entry processes know the load of engines with a delay, and with the same one:
 * if all of them chose the least loaded engine, it would get all requests until they heard of it. Each prompt therefore has
 * its owners and two random engines to choose from.
 */
import { DesiredWeights } from "../feed";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { NodeRanking } from "../routing";
import { Clock, RandomSource } from "../runtime";
import { createPrefillTracker } from "./createPrefillTracker";
import { EnginePlacement } from "./EnginePlacement";
import { LoadTracker } from "./LoadTracker";
import { prefillTokensPerMillisecond } from "./prefillTokensPerMillisecond";
import { PrefixHolders } from "./PrefixHolders";
import { PrefixSources } from "./PrefixSources";
import { PromptDescriptor } from "./PromptDescriptor";
import { PromptPrefix } from "./PromptPrefix";

/** The cost of each request at an engine: its share of the time of the batch's decoding steps. */
const millisecondsPerRequest = 4;
/** The additional cost of each queued request at an engine: the prefill of a prompt. */
const millisecondsPerQueuedRequest = 60;
/** The weight of a cache miss's prefill in the cost: it delays the prompts behind it, and evicts cached prefixes. */
const missedPrefillWeight = 3;
/** The cost of a cache miss in addition to that. */
const prefixMissMilliseconds = 60;
/** The cost of an engine that does not own the prefix: more than the second owner's, less than that of a queue. */
const nonOwnerMilliseconds = 8;
/** The share of an engine's memory that prompts in flight may fill without preemptions: output needs memory as well. */
const unpreemptedMemoryShare = 0.95;
/** The cost of a request that fills an engine's memory: some request is preempted, and its prompt prefilled again. */
const preemptionMilliseconds = 150;
/** The cost of an engine that is loading weights: the duration of a load. */
const loadingWeightsMilliseconds = 2_000;
/** The cost of an engine that failed recently: more than that of any queue. */
const suspectedMilliseconds = 20_000;
/**
 * The cost of superseded weights for each second since newer ones were named: late responses from them are worth less.
 */
const supersededWeightsMillisecondsPerSecond = 40;
/** How long before the end of their grace period superseded weights are avoided: the maximum wait of a request. */
const supersededWeightsMarginMilliseconds = 1_500;
/** The cost of weights whose grace period is ending: more than that of any queue, less than that of a failed engine. */
const expiringWeightsMilliseconds = 10_000;
const millisecondsPerSecond = 1_000;
/** The maximum age of a prefill that is still cached for certain: engines under load evict within a few seconds. */
const recentPrefillMilliseconds = 2_000;
/** The maximum age of a prefill that may still be cached. */
const formerPrefillMilliseconds = 10_000;
/** The number of random engines that a prompt may go to besides its owners. */
const randomCandidates = 2;
/** The owners of each prefix: the primary one, and a second one for when the primary is overloaded. */
const ownersPerPrefix = 2;

/** A prefix as engines with certain weights cache it. */
interface CachedPrefix {
    /** Identifies the prefix together with its scope and the weights version. */
    key: string;
    partCount: number;
}

/**
 * Creates the engine placement of an entry process.
 * @param loads - The load of the engines.
 * @param ranking - Ranks the engines for each prefix.
 * @param clock - The clock.
 * @param supersededWeightsGraceMilliseconds - How long superseded weights may still serve requests after newer ones
 * were named, in milliseconds.
 * @param random - Chooses among the engines that own a prompt's prefix no more than others.
 */
export function createEnginePlacement(
    loads: LoadTracker,
    ranking: NodeRanking,
    clock: Clock,
    supersededWeightsGraceMilliseconds: number,
    random: RandomSource,
): EnginePlacement {
    const prefills = createPrefillTracker(clock);
    return {
        choose,
        getExpectedPrefillTokens,
        recordSent,
        recordPrefillEnd: prefills.recordPrefillEnd,
        getPrefillInFlight,
        getPrefixSources,
    };

    function choose(
        prompt: PromptDescriptor,
        scope: string,
        candidates: readonly FleetInstance[],
        desiredWeights: readonly DesiredWeights[],
        memoryTokens: number,
    ): FleetInstance | undefined {
        const sharedTokens = getSharedTokens(prompt);
        const ownerRanks = getOwnerRanks(prompt, scope, candidates);
        let best: FleetInstance | undefined;
        let bestCost = Infinity;
        const isKnownHolder = (candidate: FleetInstance) => isLongestPrefixCached(prompt, scope, candidate);
        for (const candidate of getConsideredCandidates(candidates, ownerRanks, isKnownHolder)) {
            const rank = ownerRanks.get(candidate);
            const isHolder = rank === 0 || isKnownHolder(candidate);
            const workFactor = loads.getWorkFactor(candidate.instanceId);
            const prefillCost = isHolder
                ? 0
                : missedPrefillWeight * sharedTokens / prefillTokensPerMillisecond * workFactor
                    + prefixMissMilliseconds;
            const ownPrefillMilliseconds = Math.max(0, prompt.promptTokens - sharedTokens)
                / prefillTokensPerMillisecond;
            const ownerCost = rank === undefined ? nonOwnerMilliseconds : rank * millisecondsPerRequest;
            const cost = prefillCost + ownerCost + getLoadCost(candidate, workFactor)
                + getWeightsCost(candidate, prompt.model, desiredWeights)
                + getMemoryCost(candidate, prompt, memoryTokens)
                + ownPrefillMilliseconds * (workFactor - 1);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    /**
     * Gets the owners, the engines to which the prefix was sent, and some random ones; engines that load weights or failed
     * only where there are no others.
     */
    function getConsideredCandidates(
        candidates: readonly FleetInstance[],
        ownerRanks: ReadonlyMap<FleetInstance, number>,
        isKnownHolder: (candidate: FleetInstance) => boolean,
    ): Iterable<FleetInstance> {
        const usable = candidates.filter(isUsable);
        const others = usable.length > 0 ? usable : candidates;
        const chosen = Array.from(
            { length: Math.min(randomCandidates, others.length) },
            () => others[random.getInteger(others.length)]!,
        );
        return new Set([...ownerRanks.keys(), ...usable.filter(isKnownHolder), ...chosen]);
    }

    function isUsable({ instanceId, isLoading }: FleetInstance): boolean {
        return !isLoading && !loads.isSuspected(instanceId);
    }

    function getExpectedPrefillTokens(
        prompt: PromptDescriptor,
        scope: string,
        chosen: FleetInstance,
        instances: readonly FleetInstance[],
    ): number {
        const isHolder = isLongestPrefixCached(prompt, scope, chosen)
            || getOwnerRanks(prompt, scope, instances).get(chosen) === 0;
        return isHolder ? Math.max(0, prompt.promptTokens - getSharedTokens(prompt)) : prompt.promptTokens;
    }

    function recordSent(requestId: string, prompt: PromptDescriptor, scope: string, instance: FleetInstance): void {
        const keys = getPrefixesAtInstance(prompt, scope, instance).map(prefix => prefix.key);
        prefills.recordPrefillStart(requestId, keys, instance.instanceId);
    }

    function getPrefillInFlight(
        prompt: PromptDescriptor,
        scope: string,
        chosen: FleetInstance,
    ): Promise<void> | undefined {
        for (const { key } of getPrefixesAtInstance(prompt, scope, chosen)) {
            const prefill = prefills.getPrefillInFlight(key);
            if (prefill || prefills.isLikelyCached(key, chosen.instanceId)) {
                return prefill;
            }
        }
        return undefined;
    }

    function isLongestPrefixCached(prompt: PromptDescriptor, scope: string, instance: FleetInstance): boolean {
        const [longest] = prompt.prefixes;
        return longest !== undefined
            && prefills.isLikelyCached(getPrefixKey(longest, prompt.model, scope, instance), instance.instanceId);
    }

    function getPrefixSources(
        prompt: PromptDescriptor,
        scope: string,
        chosen: FleetInstance,
        instances: readonly FleetInstance[],
    ): PrefixSources {
        const version = getWeightsVersion(chosen, prompt.model);
        const sources = instances.filter(instance =>
            instance.service === chosen.service && instance !== chosen && !instance.isLoading
            && getWeightsVersion(instance, prompt.model) === version && !loads.isSuspected(instance.instanceId)
        );
        const [likelyHolder] = getOwners(prompt, scope, sources);
        return {
            prefixes: getPrefixesAtInstance(prompt, scope, chosen).map(prefix => getPrefixHolders(prefix, sources)),
            likelyHolder,
            isLikelyHolderPrimary: likelyHolder !== undefined
                && getOwners(prompt, scope, [chosen, likelyHolder])[0] === likelyHolder,
        };
    }

    function getPrefixHolders({ key, partCount }: CachedPrefix, sources: readonly FleetInstance[]): PrefixHolders {
        return {
            partCount,
            recent: findHolder(recentPrefillMilliseconds),
            former: findHolder(formerPrefillMilliseconds),
        };

        function findHolder(maximumAgeMilliseconds: number): FleetInstance | undefined {
            const holders = prefills.getHolders(key, maximumAgeMilliseconds);
            return holders.map(id => sources.find(source => source.instanceId === id)).find(source => source);
        }
    }

    /** Gets the owners of a prompt's longest shared prefix with their rank, for each weights version in service. */
    function getOwnerRanks(
        prompt: PromptDescriptor,
        scope: string,
        candidates: readonly FleetInstance[],
    ): ReadonlyMap<FleetInstance, number> {
        const usable = candidates.filter(isUsable);
        const versions = new Set(usable.map(candidate => getWeightsVersion(candidate, prompt.model)));
        return new Map([...versions].flatMap(version => {
            const engines = usable.filter(candidate => getWeightsVersion(candidate, prompt.model) === version);
            return getOwners(prompt, scope, engines).map((engine, rank): [FleetInstance, number] => [engine, rank]);
        }));
    }

    /** Gets the owners of a prompt's longest shared prefix, which are the same in every entry process. */
    function getOwners(
        prompt: PromptDescriptor,
        scope: string,
        engines: readonly FleetInstance[],
    ): readonly FleetInstance[] {
        const key = `${scope} ${prompt.prefixes[0]?.digest ?? ""}`;
        return ranking.getHighest(key, engines, engine => engine.instanceId, ownersPerPrefix);
    }

    /** Gets the cost of superseded weights in milliseconds, by the age of the first version that superseded them. */
    function getWeightsCost(
        candidate: FleetInstance,
        model: string,
        desiredWeights: readonly DesiredWeights[],
    ): number {
        const version = getWeightsVersion(candidate, model) ?? 0;
        const ages = desiredWeights.filter(newer => newer.weightsVersion > version).map(newer => newer.ageMilliseconds);
        const age = Math.max(0, ...ages);
        const expiringCost = age > supersededWeightsGraceMilliseconds - supersededWeightsMarginMilliseconds
            ? expiringWeightsMilliseconds
            : 0;
        return age / millisecondsPerSecond * supersededWeightsMillisecondsPerSecond + expiringCost;
    }

    /** Gets the cost of preemptions, which become likely as the prompts in flight fill an engine's memory. */
    function getMemoryCost(
        { instanceId }: FleetInstance,
        { promptTokens }: PromptDescriptor,
        memoryTokens: number,
    ): number {
        const usedShare = (loads.getPromptTokens(instanceId) + promptTokens) / memoryTokens;
        return Math.max(0, usedShare - unpreemptedMemoryShare) / (1 - unpreemptedMemoryShare) * preemptionMilliseconds;
    }

    /** Gets what a candidate's load and state add to the time to the first token, in milliseconds. */
    function getLoadCost({ instanceId, isLoading }: FleetInstance, workFactor: number): number {
        return loads.getPendingPrefillTokens(instanceId) / prefillTokensPerMillisecond * workFactor
            + loads.getQueueLength(instanceId) * millisecondsPerQueuedRequest * workFactor
            + loads.getRequestCount(instanceId) * millisecondsPerRequest * workFactor
            + (isLoading ? loadingWeightsMilliseconds : 0)
            + (loads.isSuspected(instanceId) ? suspectedMilliseconds : 0);
    }
}

/** Gets a prompt's shared prefixes under the weights of an engine, the longest first. */
function getPrefixesAtInstance(
    { prefixes, model }: PromptDescriptor,
    scope: string,
    instance: FleetInstance,
): readonly CachedPrefix[] {
    return prefixes.map(prefix => ({
        key: getPrefixKey(prefix, model, scope, instance),
        partCount: prefix.partCount,
    }));
}

/** Gets the key of a prefix under the weights of an engine. */
function getPrefixKey({ digest }: PromptPrefix, model: string, scope: string, instance: FleetInstance): string {
    return `${scope} ${getWeightsVersion(instance, model) ?? 0} ${digest}`;
}

function getSharedTokens({ parts }: PromptDescriptor): number {
    return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
