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
import { BeginningSource } from "./BeginningSource";
import { createPrefixReads } from "./createPrefixReads";
import { EnginePlacement } from "./EnginePlacement";
import { getBeginnings } from "./getBeginnings";
import { LoadBoard } from "./LoadBoard";
import { PrefixSources } from "./PrefixSources";
import { PromptBeginning } from "./PromptBeginning";
import { PromptOutline } from "./PromptOutline";
import { RendezvousRanking } from "./RendezvousRanking";

/** The prompt tokens that an engine reads in a millisecond, the order of today's engines. */
const tokensPerMillisecond = 50;
/** What each request at an engine adds to the wait of the next one, in milliseconds: its share of the batch's steps. */
const requestMilliseconds = 4;
/** What each request that waits at an engine adds, in milliseconds: the reading of a prompt. */
const waitingMilliseconds = 60;
/** What leaving a beginning's engine costs beside the reading, in milliseconds: other prompts wait for it too. */
const leaveMilliseconds = 60;
/** What an engine adds that does not keep the beginning, in milliseconds: more than the second keeper, less than a queue. */
const strayMilliseconds = 8;
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
/** How long ago an engine read what it holds for sure, in milliseconds: engines under load drop within some seconds. */
const recentMilliseconds = 2_000;
/** How long ago an engine read what it may hold still, in milliseconds. */
const formerMilliseconds = 10_000;
/** How many engines keep a beginning: the preferred one, and one more for what outweighs it. */
const homeCount = 2;

/**
 * Creates the placement of an entry.
 * @param loads - The engines' load.
 * @param ranking - Names the engines that keep a beginning.
 * @param clock - The passing of time.
 * @param longestWeightsAgeMilliseconds - How long replaced weights may answer after newer ones were named.
 */
export function createEnginePlacement(
    loads: LoadBoard,
    ranking: RendezvousRanking,
    clock: Clock,
    longestWeightsAgeMilliseconds: number,
): EnginePlacement {
    const reads = createPrefixReads(clock);
    return { choose, noteSent, noteRead: reads.end, getReading, getSources };

    function choose(
        prompt: PromptOutline,
        scope: string,
        candidates: readonly FleetInstance[],
        wanted: readonly DesiredWeights[],
    ): FleetInstance | undefined {
        const sharedTokens = getSharedTokens(prompt);
        const homes = getHomes(prompt, scope, candidates);
        const longestByVersion = new Map<number | undefined, PromptBeginning | undefined>();
        let best: FleetInstance | undefined;
        let bestCost = Infinity;
        for (const candidate of candidates) {
            const rank = homes.get(candidate);
            const isHolder = rank === 0 || isHeldBy(candidate, getLongest(candidate));
            const readCost = isHolder ? 0 : sharedTokens / tokensPerMillisecond + leaveMilliseconds;
            const homeCost = rank === undefined ? strayMilliseconds : rank * requestMilliseconds;
            const cost = readCost + homeCost + getLoadCost(candidate) + getWeightsCost(candidate, prompt.model, wanted);
            if (cost < bestCost) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;

        /** Gets the longest beginning under a candidate's weights, composed once for each version. */
        function getLongest(candidate: FleetInstance): PromptBeginning | undefined {
            const version = getWeightsVersion(candidate, prompt.model);
            const longest = longestByVersion.get(version) ?? getBeginnings(prompt, scope, version)[0];
            longestByVersion.set(version, longest);
            return longest;
        }
    }

    function noteSent(requestId: string, prompt: PromptOutline, scope: string, instance: FleetInstance): void {
        const keys = getInstanceBeginnings(prompt, scope, instance).map(beginning => beginning.key);
        reads.begin(requestId, keys, instance.instanceId);
    }

    function getReading(prompt: PromptOutline, scope: string, chosen: FleetInstance): Promise<void> | undefined {
        for (const { key } of getInstanceBeginnings(prompt, scope, chosen)) {
            const reading = reads.getReading(key);
            if (reading || reads.isHeld(key, chosen.instanceId)) {
                return reading;
            }
        }
        return undefined;
    }

    function isHeldBy({ instanceId }: FleetInstance, beginning: PromptBeginning | undefined): boolean {
        return beginning !== undefined && reads.isHeld(beginning.key, instanceId);
    }

    function getSources(
        prompt: PromptOutline,
        scope: string,
        chosen: FleetInstance,
        instances: readonly FleetInstance[],
    ): PrefixSources {
        const version = getWeightsVersion(chosen, prompt.model);
        const sources = instances.filter(instance =>
            instance.service === chosen.service && instance !== chosen && !instance.isLoading
            && getWeightsVersion(instance, prompt.model) === version && !loads.isSuspected(instance.instanceId)
        );
        const [likely] = getKeepers(prompt, scope, sources);
        return {
            beginnings: getInstanceBeginnings(prompt, scope, chosen).map(beginning => getSource(beginning, sources)),
            likely,
            isLikelyHome: likely !== undefined && getKeepers(prompt, scope, [chosen, likely])[0] === likely,
        };
    }

    function getSource({ key, parts }: PromptBeginning, sources: readonly FleetInstance[]): BeginningSource {
        return { parts, recent: findHolder(recentMilliseconds), former: findHolder(formerMilliseconds) };

        function findHolder(longestMilliseconds: number): FleetInstance | undefined {
            const holders = reads.getHolders(key, longestMilliseconds);
            return holders.map(id => sources.find(source => source.instanceId === id)).find(source => source);
        }
    }

    /** Gets the engines that keep a prompt's shared beginning for each version of the weights in service, with their rank. */
    function getHomes(
        prompt: PromptOutline,
        scope: string,
        candidates: readonly FleetInstance[],
    ): ReadonlyMap<FleetInstance, number> {
        const usable = candidates.filter(({ instanceId, isLoading }) => !isLoading && !loads.isSuspected(instanceId));
        const versions = new Set(usable.map(candidate => getWeightsVersion(candidate, prompt.model)));
        return new Map([...versions].flatMap(version => {
            const engines = usable.filter(candidate => getWeightsVersion(candidate, prompt.model) === version);
            return getKeepers(prompt, scope, engines).map((engine, rank): [FleetInstance, number] => [engine, rank]);
        }));
    }

    /** Gets the engines that keep a prompt's shared beginning, the same ones at every entry. */
    function getKeepers(
        prompt: PromptOutline,
        scope: string,
        engines: readonly FleetInstance[],
    ): readonly FleetInstance[] {
        const key = `${scope} ${getSharedIds(prompt)}`;
        return ranking.getHighest(key, engines, engine => engine.instanceId, homeCount);
    }

    /** Gets what replaced weights add, in milliseconds, by the age of the first version that replaced them. */
    function getWeightsCost(candidate: FleetInstance, model: string, wanted: readonly DesiredWeights[]): number {
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

/** Gets a prompt's shared beginnings under the weights of an engine. */
function getInstanceBeginnings(
    prompt: PromptOutline,
    scope: string,
    instance: FleetInstance,
): readonly PromptBeginning[] {
    return getBeginnings(prompt, scope, getWeightsVersion(instance, prompt.model));
}

function getSharedIds({ parts }: PromptOutline): string {
    return parts.slice(0, -1).map(part => part.id).join(",");
}

function getSharedTokens({ parts }: PromptOutline): number {
    return parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
}
