/*
 * Stateless placement by rendezvous hashing of the prompt's placement key. All prompts with the same key have the same
 * choices in the same order, so cached copies of their shared prefix are found at the first of them. Hints and observed
 * load only reorder the choices that hashing made. They expire within seconds, so an entry process that has just
 * started routes like the other entry processes.
 */
import { LRUCache } from "lru-cache";
import { ProcessRecord } from "../protocol";
import { createLoadTracker } from "./createLoadTracker";
import { createRendezvousRanking } from "./createRendezvousRanking";
import { getPlacementKey } from "./getPlacementKey";
import { Placement } from "./Placement";
import { PlacementOptions } from "./PlacementOptions";
import { PlacementRequest } from "./PlacementRequest";
import { RendezvousRanking } from "./RendezvousRanking";
import { RoutingObservation } from "./RoutingObservation";

const maximumChoices = 8;
const maximumRankedInstances = 16;
const maximumHints = 8_192;
const hintLifetimeMilliseconds = 1_000;
const maximumRankings = 64;

interface PrefixHint {
    /** The id of the instance that the sidecar recommended. */
    sibling: string | undefined;
    /** The number of backend servers that should serve the prefix. */
    replicaCount: number;
    /** When the hint expires, on the monotonic clock. */
    expiresMilliseconds: number;
}

interface CachedRanking {
    /** The candidates that the ranking was created from. */
    candidates: readonly ProcessRecord[];
    ranking: RendezvousRanking;
}

/** Creates a placement without hints or observed load. */
export function createPlacement(options: PlacementOptions): Placement {
    const { clock, random, dataCentre } = options;
    const loadTracker = createLoadTracker(clock);
    const hints = new LRUCache<string, PrefixHint>({ max: maximumHints });
    const rankings = new LRUCache<string, CachedRanking>({ max: maximumRankings });
    return { rank, addObservation };

    function rank(request: PlacementRequest, candidates: readonly ProcessRecord[]): readonly ProcessRecord[] {
        const usable = request.excluded.size === 0
            ? candidates
            : candidates.filter(candidate => !request.excluded.has(candidate.instanceId));
        if (usable.length === 0) {
            return [];
        }
        const choices = request.hashes.length === 0
            ? rankWithoutPrefix(usable)
            : rankByPrefix(request, candidates);
        return moveFailedLast(choices);
    }

    function addObservation(observation: RoutingObservation): void {
        loadTracker.addObservation(observation);
        if (observation.kind !== "refused" || observation.prefixHash === undefined) {
            return;
        }
        if (observation.sibling === undefined && observation.replicaCount <= 1) {
            return;
        }
        const expiresMilliseconds = clock.getMonotonicMilliseconds() + hintLifetimeMilliseconds;
        hints.set(observation.prefixHash, {
            sibling: observation.sibling,
            replicaCount: observation.replicaCount,
            expiresMilliseconds,
        });
    }

    /** Ranks by the prompt's placement key, then applies the hint for its prefix. */
    function rankByPrefix(request: PlacementRequest, candidates: readonly ProcessRecord[]): ProcessRecord[] {
        const key = getPlacementKey(request.hashes)!;
        const ranked = getRanking(request.modelOrService, candidates).getTopInstances(key);
        const usable = ranked.filter(choice => !request.excluded.has(choice.instanceId));
        const choices = usable.length > 0
            ? usable
            : candidates.filter(candidate => !request.excluded.has(candidate.instanceId));
        return applyHint(key, choices.slice(0, maximumChoices));
    }

    /** Moves to the front the sibling that a hint names, or a less loaded choice among a hot prefix's replicas. */
    function applyHint(key: string, choices: ProcessRecord[]): ProcessRecord[] {
        const hint = hints.get(key);
        if (hint === undefined) {
            return choices;
        }
        if (hint.expiresMilliseconds <= clock.getMonotonicMilliseconds()) {
            hints.delete(key);
            return choices;
        }
        const sibling = choices.find(choice => choice.instanceId === hint.sibling);
        if (sibling !== undefined) {
            return moveToFront(choices, sibling);
        }
        const replicaCount = Math.min(hint.replicaCount, choices.length);
        return replicaCount > 1 ? moveToFront(choices, chooseLessLoaded(choices.slice(0, replicaCount))) : choices;
    }

    /**
     * Ranks candidates for a request without a prefix. The less loaded of two random candidates comes first, taken from
     * the entry process's data centre where it has more than one candidate.
     */
    function rankWithoutPrefix(usable: readonly ProcessRecord[]): ProcessRecord[] {
        const localCandidates = usable.filter(candidate => candidate.dataCentre === dataCentre);
        const first = chooseLessLoaded(localCandidates.length > 1 ? localCandidates : usable);
        const offset = random.getInteger(usable.length);
        const choices = new Set<ProcessRecord>([first]);
        for (let step = 0; step < usable.length && choices.size < maximumChoices; step++) {
            choices.add(usable[(offset + step) % usable.length]!);
        }
        return [...choices];
    }

    /** Draws two choices at random and returns the one with the lower expected wait. */
    function chooseLessLoaded(choices: readonly ProcessRecord[]): ProcessRecord {
        const left = choices[random.getInteger(choices.length)]!;
        const right = choices[random.getInteger(choices.length)]!;
        const leftWait = loadTracker.getExpectedWaitMilliseconds(left.instanceId);
        const rightWait = loadTracker.getExpectedWaitMilliseconds(right.instanceId);
        return rightWait < leftWait ? right : left;
    }

    /** Moves instances that have failed recently behind the others. */
    function moveFailedLast(choices: readonly ProcessRecord[]): readonly ProcessRecord[] {
        if (!choices.some(choice => loadTracker.hasFailedRecently(choice.instanceId))) {
            return choices;
        }
        const failed = choices.filter(choice => loadTracker.hasFailedRecently(choice.instanceId));
        return [...choices.filter(choice => !loadTracker.hasFailedRecently(choice.instanceId)), ...failed];
    }

    /** Gets the ranking of the candidates; it is created again when one of them was added, removed or changed. */
    function getRanking(modelOrService: string, candidates: readonly ProcessRecord[]): RendezvousRanking {
        const cached = rankings.get(modelOrService);
        if (cached !== undefined && hasSameRecords(cached.candidates, candidates)) {
            return cached.ranking;
        }
        const ranking = createRendezvousRanking(candidates, maximumRankedInstances);
        rankings.set(modelOrService, { candidates, ranking });
        return ranking;
    }
}

/** Moves one choice before the others. */
function moveToFront(choices: readonly ProcessRecord[], first: ProcessRecord): ProcessRecord[] {
    return [first, ...choices.filter(choice => choice !== first)];
}

/** Tells whether two lists contain the same record objects in the same order. */
function hasSameRecords(left: readonly ProcessRecord[], right: readonly ProcessRecord[]): boolean {
    return left === right || (left.length === right.length && left.every((record, index) => record === right[index]));
}
