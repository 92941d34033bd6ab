/*
 * Chooses an engine for a prompt. It answers a load of prompts that share long beginnings over engines of uneven load:
 * all entries agree on the engine that holds a shared beginning by rendezvous hashing, without exchanging state, and
 * leave it only where its load outweighs reading the beginning again.
 */
import { LRUCache } from "lru-cache";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { createInstanceDigest, getRendezvousScore, InstanceDigest } from "../routing";
import { EnginePlacement } from "./EnginePlacement";
import { LoadBoard } from "./LoadBoard";
import { PromptOutline } from "./PromptOutline";
import { WantedWeights } from "./WantedWeights";

/** The prompt tokens that an engine reads in a millisecond, the order of today's engines. */
const tokensPerMillisecond = 50;
/** What each request at an engine adds to the wait of the next one, in milliseconds: its share of the batch's steps. */
const requestMilliseconds = 4;
/** What an engine that takes new weights adds, in milliseconds: the time of a load. */
const loadingMilliseconds = 2_000;
/** What an engine that failed lately adds, in milliseconds: more than any queue. */
const suspectedMilliseconds = 20_000;
/** What replaced weights add for each second since newer ones were named, in milliseconds: late answers are worth less. */
const oldWeightsMillisecondsPerSecond = 40;
/** How many digests of engines are kept: more than any fleet has. */
const maximumDigests = 4_096;

/**
 * Creates the placement of an entry.
 * @param loads - The engines' load.
 */
export function createEnginePlacement(loads: LoadBoard): EnginePlacement {
    const digests = new LRUCache<string, InstanceDigest>({ max: maximumDigests });
    return { choose };

    function choose(
        prompt: PromptOutline,
        candidates: readonly FleetInstance[],
        wanted: WantedWeights | undefined,
    ): FleetInstance | undefined {
        const sharedParts = prompt.parts.slice(0, -1);
        const sharedTokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0);
        const home = getHome(sharedParts.map(part => part.id).join(","), candidates);
        let best: FleetInstance | undefined;
        let bestCost = Infinity;
        for (const candidate of candidates) {
            const readTokens = candidate === home ? 0 : sharedTokens;
            const cost = readTokens / tokensPerMillisecond + getLoadCost(candidate)
                + getWeightsCost(candidate, prompt.model, wanted);
            if (cost < bestCost || cost === bestCost && candidate === home) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    /** Gets the engine that keeps a shared beginning, the same at every entry. */
    function getHome(key: string, candidates: readonly FleetInstance[]): FleetInstance | undefined {
        const { first, second } = createInstanceDigest(key);
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

    function getDigest(instanceId: string): InstanceDigest {
        const digest = digests.get(instanceId) ?? createInstanceDigest(instanceId);
        digests.set(instanceId, digest);
        return digest;
    }

    /** Gets what a candidate's load and state add to the time to the first token, in milliseconds. */
    function getLoadCost({ instanceId, isLoading }: FleetInstance): number {
        return loads.getUnreadTokens(instanceId) / tokensPerMillisecond
            + loads.getRequests(instanceId) * requestMilliseconds
            + (isLoading ? loadingMilliseconds : 0)
            + (loads.isSuspected(instanceId) ? suspectedMilliseconds : 0);
    }
}

/** Gets what replaced weights add, in milliseconds. */
function getWeightsCost(candidate: FleetInstance, model: string, wanted: WantedWeights | undefined): number {
    const version = getWeightsVersion(candidate, model) ?? 0;
    if (!wanted || version >= wanted.weightsVersion) {
        return 0;
    }
    return wanted.ageMilliseconds / 1_000 * oldWeightsMillisecondsPerSecond;
}
