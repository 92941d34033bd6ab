/*
 * Chooses an engine for a prompt. It answers a load of prompts that share long beginnings over engines of uneven load:
 * all entries agree on the engine that keeps a shared beginning by rendezvous hashing, without exchanging state, and
 * leave it only where its load outweighs reading the beginning again. Where a prompt goes elsewhere all the same, it
 * fetches the beginning from an engine that holds it.
 */
import { DesiredWeights } from "../feed";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { Clock } from "../runtime";
import { createPrefillTracker } from "./createPrefillTracker";
import { EnginePlacement } from "./EnginePlacement";
import { getSharedPrefixes } from "./getSharedPrefixes";
import { LoadTracker } from "./LoadTracker";
import { PrefixHolders } from "./PrefixHolders";
import { PrefixSources } from "./PrefixSources";
import { PromptDescriptor } from "./PromptDescriptor";
import { PromptPrefix } from "./PromptPrefix";
import { RendezvousRanking } from "./RendezvousRanking";

/** The prompt tokens that an engine reads in a millisecond, the order of today's engines. */
const prefillTokensPerMillisecond = 50;
/** What each request at an engine adds to the wait of the next one, in milliseconds: its share of the batch's steps. */
const millisecondsPerRequest = 4;
/** What each request that waits at an engine adds, in milliseconds: the reading of a prompt. */
const millisecondsPerQueuedRequest = 60;
/** What leaving a beginning's engine costs beside the reading, in milliseconds: other prompts wait for it too. */
const prefixMissMilliseconds = 60;
/** What an engine adds that does not keep the beginning, in milliseconds: more than the second keeper, less than a queue. */
const nonOwnerMilliseconds = 8;
/** What an engine that takes new weights adds, in milliseconds: the time of a load. */
const loadingWeightsMilliseconds = 2_000;
/** What an engine that failed lately adds, in milliseconds: more than any queue. */
const suspectedMilliseconds = 20_000;
/** What replaced weights add for each second since newer ones were named, in milliseconds: late answers are worth less. */
const supersededWeightsMillisecondsPerSecond = 40;
/** How much sooner than weights may no longer answer their engines are left, in milliseconds: a request's longest wait. */
const supersededWeightsMarginMilliseconds = 1_500;
/** What weights that may no longer answer add, in milliseconds: more than any queue, less than a dead engine. */
const expiringWeightsMilliseconds = 10_000;
const millisecondsPerSecond = 1_000;
/** How long ago an engine read what it holds for sure, in milliseconds: engines under load drop within some seconds. */
const recentPrefillMilliseconds = 2_000;
/** How long ago an engine read what it may hold still, in milliseconds. */
const formerPrefillMilliseconds = 10_000;
/** How many engines keep a beginning: the preferred one, and one more for what outweighs it. */
const ownersPerPrefix = 2;

/**
 * Creates the placement of an entry.
 * @param loads - The engines' load.
 * @param ranking - Names the engines that keep a beginning.
 * @param clock - The passing of time.
 * @param supersededWeightsGraceMilliseconds - How long replaced weights may answer after newer ones were named.
 */
export function createEnginePlacement(
    loads: LoadTracker,
    ranking: RendezvousRanking,
    clock: Clock,
    supersededWeightsGraceMilliseconds: number,
): EnginePlacement {
    const prefills = createPrefillTracker(clock);
    return { choose, recordSent, recordPrefillEnd: prefills.recordPrefillEnd, getPrefillInFlight, getPrefixSources };

    function choose(
        prompt: PromptDescriptor,
        scope: string,
        candidates: readonly FleetInstance[],
        desiredWeights: readonly DesiredWeights[],
    ): FleetInstance | undefined {
        const sharedTokens = getSharedTokens(prompt);
        const ownerRanks = getOwnerRanks(prompt, scope, candidates);
        const longestPrefixByVersion = new Map<number | undefined, PromptPrefix | undefined>();
        let best: FleetInstance | undefined;
        let bestCost = Infinity;
        for (const candidate of candidates) {
            const rank = ownerRanks.get(candidate);
            const isHolder = rank === 0 || isLikelyCachedAt(candidate, getLongestPrefix(candidate));
            const prefillCost = isHolder ? 0 : sharedTokens / prefillTokensPerMillisecond + prefixMissMilliseconds;
            const ownerCost = rank === undefined ? nonOwnerMilliseconds : rank * millisecondsPerRequest;
            const cost = prefillCost + ownerCost + getLoadCost(candidate)
                + getWeightsCost(candidate, prompt.model, desiredWeights);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;

        /** Gets the longest beginning under a candidate's weights, composed once for each version. */
        function getLongestPrefix(candidate: FleetInstance): PromptPrefix | undefined {
            const version = getWeightsVersion(candidate, prompt.model);
            const longest = longestPrefixByVersion.get(version) ?? getSharedPrefixes(prompt, scope, version)[0];
            longestPrefixByVersion.set(version, longest);
            return longest;
        }
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

    function isLikelyCachedAt({ instanceId }: FleetInstance, prefix: PromptPrefix | undefined): boolean {
        return prefix !== undefined && prefills.isLikelyCached(prefix.key, instanceId);
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

    function getPrefixHolders({ key, parts }: PromptPrefix, sources: readonly FleetInstance[]): PrefixHolders {
        return { parts, recent: findHolder(recentPrefillMilliseconds), former: findHolder(formerPrefillMilliseconds) };

        function findHolder(maximumAgeMilliseconds: number): FleetInstance | undefined {
            const holders = prefills.getHolders(key, maximumAgeMilliseconds);
            return holders.map(id => sources.find(source => source.instanceId === id)).find(source => source);
        }
    }

    /** Gets the engines that keep a prompt's shared beginning for each version of the weights in service, with their rank. */
    function getOwnerRanks(
        prompt: PromptDescriptor,
        scope: string,
        candidates: readonly FleetInstance[],
    ): ReadonlyMap<FleetInstance, number> {
        const usable = candidates.filter(({ instanceId, isLoading }) => !isLoading && !loads.isSuspected(instanceId));
        const versions = new Set(usable.map(candidate => getWeightsVersion(candidate, prompt.model)));
        return new Map([...versions].flatMap(version => {
            const engines = usable.filter(candidate => getWeightsVersion(candidate, prompt.model) === version);
            return getOwners(prompt, scope, engines).map((engine, rank): [FleetInstance, number] => [engine, rank]);
        }));
    }

    /** Gets the engines that keep a prompt's shared beginning, the same ones at every entry. */
    function getOwners(
        prompt: PromptDescriptor,
        scope: string,
        engines: readonly FleetInstance[],
    ): readonly FleetInstance[] {
        const key = `${scope} ${getSharedPartIds(prompt)}`;
        return ranking.getHighest(key, engines, engine => engine.instanceId, ownersPerPrefix);
    }

    /** Gets what replaced weights add, in milliseconds, by the age of the first version that replaced them. */
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

    /** Gets what a candidate's load and state add to the time to the first token, in milliseconds. */
    function getLoadCost({ instanceId, isLoading }: FleetInstance): number {
        return loads.getPendingPrefillTokens(instanceId) / prefillTokensPerMillisecond
            + loads.getQueueLength(instanceId) * millisecondsPerQueuedRequest
            + loads.getRequestCount(instanceId) * millisecondsPerRequest
            + (isLoading ? loadingWeightsMilliseconds : 0)
            + (loads.isSuspected(instanceId) ? suspectedMilliseconds : 0);
    }
}

/** Gets a prompt's shared beginnings under the weights of an engine. */
function getPrefixesAtInstance(
    prompt: PromptDescriptor,
    scope: string,
    instance: FleetInstance,
): readonly PromptPrefix[] {
    return getSharedPrefixes(prompt, scope, getWeightsVersion(instance, prompt.model));
}

function getSharedPartIds({ parts }: PromptDescriptor): string {
    return parts.slice(0, -1).map(part => part.id).join(",");
}

function getSharedTokens({ parts }: PromptDescriptor): number {
    return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
