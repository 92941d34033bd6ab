/*
 * Chooses an engine for a prompt. It answers a load of prompts that share long beginnings over engines of uneven load:
 * all entries agree on the engine that keeps a shared beginning by rendezvous hashing, without exchanging state, and
 * leave it only where its load outweighs reading the beginning again. Where a prompt goes elsewhere all the same, it
 * fetches the beginning from an engine that holds it.
 */
import { LRUCache } from "lru-cache";
import { WantedWeights } from "../feed";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { createInstanceDigest, getRendezvousScore, InstanceDigest } from "../routing";
import { Clock } from "../runtime";
import { createPrefixReads } from "./createPrefixReads";
import { EnginePlacement } from "./EnginePlacement";
import { LoadBoard } from "./LoadBoard";
import { PrefixSources } from "./PrefixSources";
import { PromptOutline } from "./PromptOutline";

/** The prompt tokens that an engine reads in a millisecond, the order of today's engines. */
const tokensPerMillisecond = 50;
/** What each request at an engine adds to the wait of the next one, in milliseconds: its share of the batch's steps. */
const requestMilliseconds = 4;
/** What each request that waits at an engine adds, in milliseconds: the reading of a prompt. */
const waitingMilliseconds = 60;
/** What leaving a beginning's engine costs beside the reading, in milliseconds: other prompts wait for it too. */
const leaveMilliseconds = 60;
/** What an engine that takes new weights adds, in milliseconds: the time of a load. */
const loadingMilliseconds = 2_000;
/** What an engine that failed lately adds, in milliseconds: more than any queue. */
const suspectedMilliseconds = 20_000;
/** What replaced weights add for each second since newer ones were named, in milliseconds: late answers are worth less. */
const oldWeightsMillisecondsPerSecond = 40;
/** How much sooner than weights may no longer answer their engines are left, in milliseconds: a request's longest wait. */
const weightsMarginMilliseconds = 1_500;
/** What weights that may no longer answer add, in milliseconds: more than any queue, less than a dead engine. */
const overdueMilliseconds = 10_000;
const millisecondsPerSecond = 1_000;
/** How many digests are kept: more than any fleet has engines. */
const maximumDigests = 4_096;

/**
 * Creates the placement of an entry.
 * @param loads - The engines' load.
 * @param clock - The passing of time.
 * @param longestWeightsAgeMilliseconds - How long replaced weights may answer after newer ones were named.
 */
export function createEnginePlacement(
    loads: LoadBoard,
    clock: Clock,
    longestWeightsAgeMilliseconds: number,
): EnginePlacement {
    const digests = new LRUCache<string, InstanceDigest>({ max: maximumDigests });
    const reads = createPrefixReads(clock);
    return { choose, noteSent, getSources };

    function choose(
        prompt: PromptOutline,
        scope: string,
        candidates: readonly FleetInstance[],
        wanted: readonly WantedWeights[],
    ): FleetInstance | undefined {
        const sharedTokens = getSharedTokens(prompt);
        const homes = getHomes(prompt, scope, candidates);
        let best: FleetInstance | undefined;
        let bestCost = Infinity;
        for (const candidate of candidates) {
            const isHome = homes.has(candidate);
            const isHolder = isHome || reads.isHeld(getKey(prompt, scope, candidate), candidate.instanceId);
            const readCost = isHolder ? 0 : sharedTokens / tokensPerMillisecond + leaveMilliseconds;
            const homeCost = isHome ? 0 : requestMilliseconds;
            const cost = readCost + homeCost + getLoadCost(candidate) + getWeightsCost(candidate, prompt.model, wanted);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    function noteSent(prompt: PromptOutline, scope: string, instance: FleetInstance): void {
        reads.note(getKey(prompt, scope, instance), instance.instanceId);
    }

    function getSources(
        prompt: PromptOutline,
        scope: string,
        chosen: FleetInstance,
        instances: readonly FleetInstance[],
    ): PrefixSources {
        const key = getKey(prompt, scope, chosen);
        const version = getWeightsVersion(chosen, prompt.model);
        const sources = instances.filter(instance =>
            instance.service === chosen.service && instance !== chosen && !instance.isLoading
            && getWeightsVersion(instance, prompt.model) === version && !loads.isSuspected(instance.instanceId)
        );
        const [lastId] = reads.getHolders(key);
        return {
            isHeld: reads.isHeld(key, chosen.instanceId),
            known: sources.find(instance => instance.instanceId === lastId),
            likely: getHome(prompt, scope, sources),
        };
    }

    /** Gets the engine that keeps a prompt's shared beginning for each version of the weights in service. */
    function getHomes(
        prompt: PromptOutline,
        scope: string,
        candidates: readonly FleetInstance[],
    ): ReadonlySet<FleetInstance | undefined> {
        const usable = candidates.filter(({ instanceId, isLoading }) => !isLoading && !loads.isSuspected(instanceId));
        const versions = new Set(usable.map(candidate => getWeightsVersion(candidate, prompt.model)));
        return new Set(
            [...versions].map(version =>
                getHome(
                    prompt,
                    scope,
                    usable.filter(candidate => getWeightsVersion(candidate, prompt.model) === version),
                )
            ),
        );
    }

    /** Gets the candidate that rendezvous hashing names, the same at every entry. */
    function getHome(
        prompt: PromptOutline,
        scope: string,
        candidates: readonly FleetInstance[],
    ): FleetInstance | undefined {
        const { first, second } = getDigest(`${scope} ${getSharedIds(prompt)}`);
        let home: FleetInstance | undefined;
        let homeScore = -1;
        for (const candidate of candidates) {
            const score = getRendezvousScore(first, second, getDigest(candidate.instanceId));
            if (score > homeScore) {
                home = candidate;
                homeScore = score;
            }
        }
        return home;
    }

    function getDigest(text: string): InstanceDigest {
        const digest = digests.get(text) ?? createInstanceDigest(text);
        digests.set(text, digest);
        return digest;
    }

    /** Gets what replaced weights add, in milliseconds, by the age of the first version that replaced them. */
    function getWeightsCost(candidate: FleetInstance, model: string, wanted: readonly WantedWeights[]): number {
        const version = getWeightsVersion(candidate, model) ?? 0;
        const ages = wanted.filter(newer => newer.weightsVersion > version).map(newer => newer.ageMilliseconds);
        const age = Math.max(0, ...ages);
        const overdueCost = age > longestWeightsAgeMilliseconds - weightsMarginMilliseconds ? overdueMilliseconds : 0;
        return age / millisecondsPerSecond * oldWeightsMillisecondsPerSecond + overdueCost;
    }

    /** Gets what a candidate's load and state add to the time to the first token, in milliseconds. */
    function getLoadCost({ instanceId, isLoading }: FleetInstance): number {
        return loads.getUnreadTokens(instanceId) / tokensPerMillisecond
            + loads.getWaiting(instanceId) * waitingMilliseconds
            + loads.getRequests(instanceId) * requestMilliseconds
            + (isLoading ? loadingMilliseconds : 0)
            + (loads.isSuspected(instanceId) ? suspectedMilliseconds : 0);
    }
}

/** Gets the name of a prompt's shared beginning under the weights of an engine. */
function getKey(prompt: PromptOutline, scope: string, instance: FleetInstance): string {
    return `${scope} ${getWeightsVersion(instance, prompt.model) ?? 0} ${getSharedIds(prompt)}`;
}

function getSharedIds({ parts }: PromptOutline): string {
    return parts.slice(0, -1).map(part => part.id).join(",");
}

function getSharedTokens({ parts }: PromptOutline): number {
    return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
