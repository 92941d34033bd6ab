/*
 * Creates a workload: seeded open-loop arrivals of prompts with nested shared prefixes, of which a few are very hot,
 * from subscribers of which a few are heavy.
 */
import { createRandomSource, RandomSource } from "../../runtime";
import { CompletionTemplate } from "./CompletionTemplate";
import { createArrivalTimes } from "./createArrivalTimes";
import { createCompletionSampler } from "./createCompletionSampler";
import { createSubscribers } from "./createSubscribers";
import { getHashedSeed } from "./getHashedSeed";
import { getPromptTokens } from "./getPromptTokens";
import { getWorkloadProfile } from "./getWorkloadProfile";
import { Workload } from "./Workload";
import { WorkloadOptions } from "./WorkloadOptions";
import { WorkloadProfile } from "./WorkloadProfile";
import { WorkloadRequest } from "./WorkloadRequest";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

const millisecondsPerSecond = 1_000;
const sampledCompletions = 4_000;
const sampleSeed = 1;
const maximumLaterTurns = 3;
const turnGapMilliseconds = { minimum: 4_000, maximum: 12_000 };
const turnTokens = { minimum: 600, maximum: 2_000 };
const resendInterval = 4;
const excessWorkspace = 3;
const excessSubscriber = 5;

/**
 * Creates a workload; equal options give equal requests.
 * @param options - The kind, the load and the length of the workload.
 */
export function createWorkload(options: WorkloadOptions): Workload {
    const { kind, seed, load, seconds, engineCount, prefillTokensPerSecond, popularityShiftSeconds } = options;
    const profile = getWorkloadProfile(kind);
    const subscribers = createSubscribers(kind, profile);
    const random = createRandomSource(getHashedSeed(seed));
    const sampler = createCompletionSampler(profile, subscribers, random);
    const meanPromptTokens = getMeanPromptTokens(profile, subscribers);
    const completionsPerSecond = load * engineCount * prefillTokensPerSecond / meanPromptTokens;
    const requests = [...createCompletions(), ...createServiceCalls(), ...createExcessRequests()];
    requests.sort((first, second) => first.arrivalMilliseconds - second.arrivalMilliseconds);
    return { kind, subscribers, requests, meanPromptTokens, completionsPerSecond };

    /** Creates the completions; the later turns of conversations are included in the arrival rate. */
    function createCompletions(): WorkloadRequest[] {
        const openingsPerSecond = completionsPerSecond / (1 + getMeanTurns(profile));
        return createArrivalTimes(openingsPerSecond, seconds, random).flatMap(time => {
            const opening = sampler.draw(isShifted(time));
            return [createCompletion(opening, time), ...createTurns(opening, time)];
        });
    }

    function isShifted(time: number): boolean {
        return popularityShiftSeconds !== undefined && time >= popularityShiftSeconds * millisecondsPerSecond;
    }

    /** Creates the later turns of a conversation; each prompt extends that of the previous turn. */
    function createTurns(opening: CompletionTemplate, openingTime: number): WorkloadRequest[] {
        if (opening.isShort || random.getFraction() >= profile.conversationShare) {
            return [];
        }
        const turns: WorkloadRequest[] = [];
        let parts = opening.parts;
        let time = openingTime;
        const count = 1 + random.getInteger(maximumLaterTurns);
        for (let turn = 1; turn <= count; turn++) {
            time += drawBetween(random, turnGapMilliseconds);
            const id = `${opening.parts.at(-1)!.id}/turn-${turn}`;
            parts = [...parts, { id, tokens: drawBetween(random, turnTokens) }];
            turns.push(createCompletion({ ...opening, parts }, time));
        }
        return turns.filter(turn => turn.arrivalMilliseconds < seconds * millisecondsPerSecond);
    }

    function createServiceCalls(): WorkloadRequest[] {
        const perSecond = completionsPerSecond * profile.serviceCallShare;
        const { action, name } = profile.service;
        return createArrivalTimes(perSecond, seconds, random).map((arrivalMilliseconds, index) => {
            const subscriber = subscribers[random.getInteger(subscribers.length)]!;
            const isStatus = random.getFraction() >= profile.nonIdempotentShare;
            return {
                kind: "service" as const,
                arrivalMilliseconds,
                subscriber,
                service: name,
                action: isStatus ? "status" as const : action,
                isResent: !isStatus && index % resendInterval === 0,
                key: isStatus ? `${name}-${random.getInteger(index + 1)}` : `${name}-${index}`,
            };
        });
    }

    /** Creates the excess traffic of one subscriber. */
    function createExcessRequests(): WorkloadRequest[] {
        const subscriber = subscribers[excessWorkspace * profile.subscribersPerWorkspace + excessSubscriber]!;
        const perSecond = (options.excessFactor ?? 0) * completionsPerSecond / subscribers.length;
        return createArrivalTimes(perSecond, seconds, random).map(time => {
            return { ...createCompletion(sampler.draw(isShifted(time), subscriber), time), isExcess: true };
        });
    }
}

function createCompletion(template: CompletionTemplate, arrivalMilliseconds: number): WorkloadRequest {
    return { ...template, arrivalMilliseconds, isExcess: false };
}

/** Gets the mean number of later turns that follow a completion. */
function getMeanTurns(profile: WorkloadProfile): number {
    return (1 - profile.shortShare) * profile.conversationShare * (1 + maximumLaterTurns) / 2;
}

/** Estimates the mean prompt length from a sample of a fixed seed, so that a load is the same rate for all seeds. */
function getMeanPromptTokens(profile: WorkloadProfile, subscribers: readonly WorkloadSubscriber[]): number {
    const sampler = createCompletionSampler(profile, subscribers, createRandomSource(getHashedSeed(sampleSeed)));
    let tokens = 0;
    for (let count = 0; count < sampledCompletions; count++) {
        tokens += getPromptTokens(sampler.draw(false).parts);
    }
    return tokens / sampledCompletions;
}

function drawBetween(random: RandomSource, range: { minimum: number; maximum: number; }): number {
    return range.minimum + random.getInteger(range.maximum - range.minimum + 1);
}
