/*
 * Creates a workload: seeded, open-loop arrivals with nested shared prefixes, a few very hot ones among them, and a few
 * heavy subscribers.
 */
import { createRandomSource, RandomSource } from "../../runtime";
import { CompletionShape } from "./CompletionShape";
import { createArrivalTimes } from "./createArrivalTimes";
import { createCompletionShapes } from "./createCompletionShapes";
import { createSubscribers } from "./createSubscribers";
import { getMixedSeed } from "./getMixedSeed";
import { getPromptTokens } from "./getPromptTokens";
import { getWorkloadProfile } from "./getWorkloadProfile";
import { Workload } from "./Workload";
import { WorkloadOptions } from "./WorkloadOptions";
import { WorkloadProfile } from "./WorkloadProfile";
import { WorkloadRequest } from "./WorkloadRequest";
import { WorkloadSubscriber } from "./WorkloadSubscriber";

const millisecondsPerSecond = 1_000;
const sampledShapes = 4_000;
const sampleSeed = 1;
const longestConversation = 3;
const turnGapMilliseconds = { least: 4_000, most: 12_000 };
const turnTokens = { least: 600, most: 2_000 };
const resendInterval = 4;
const excessWorkspace = 3;
const excessSubscriber = 5;

/** Creates a workload; equal options give equal requests. */
export function createWorkload(options: WorkloadOptions): Workload {
    const { kind, seed, load, seconds, engines, prefillTokensPerSecond, hotShiftSeconds } = options;
    const profile = getWorkloadProfile(kind);
    const subscribers = createSubscribers(kind, profile);
    const random = createRandomSource(getMixedSeed(seed));
    const shapes = createCompletionShapes(profile, subscribers, random);
    const meanPromptTokens = getMeanPromptTokens(profile, subscribers);
    const completionsPerSecond = load * engines * prefillTokensPerSecond / meanPromptTokens;
    const requests = [...createCompletions(), ...createServiceCalls(), ...createExcess()];
    requests.sort((first, second) => first.atMilliseconds - second.atMilliseconds);
    return { kind, subscribers, requests, meanPromptTokens, completionsPerSecond };

    /** Creates the completions; a conversation's later turns count towards the rate. */
    function createCompletions(): WorkloadRequest[] {
        const openingsPerSecond = completionsPerSecond / (1 + getMeanTurns(profile));
        return createArrivalTimes(openingsPerSecond, seconds, random).flatMap(time => {
            const opening = shapes.draw(isShifted(time));
            return [createCompletion(opening, time), ...createTurns(opening, time)];
        });
    }

    function isShifted(time: number): boolean {
        return hotShiftSeconds !== undefined && time >= hotShiftSeconds * millisecondsPerSecond;
    }

    /** Creates the later turns of a conversation; each prompt begins with the one before. */
    function createTurns(opening: CompletionShape, openingTime: number): WorkloadRequest[] {
        if (opening.isShort || random.getFraction() >= profile.conversationShare) {
            return [];
        }
        const turns: WorkloadRequest[] = [];
        let parts = opening.parts;
        let time = openingTime;
        const count = 1 + random.getInteger(longestConversation);
        for (let turn = 1; turn <= count; turn++) {
            time += drawBetween(random, turnGapMilliseconds);
            const id = `${opening.parts.at(-1)!.id}/turn-${turn}`;
            parts = [...parts, { id, tokens: drawBetween(random, turnTokens) }];
            turns.push(createCompletion({ ...opening, parts }, time));
        }
        return turns.filter(turn => turn.atMilliseconds < seconds * millisecondsPerSecond);
    }

    function createServiceCalls(): WorkloadRequest[] {
        const perSecond = completionsPerSecond * profile.serviceCallShare;
        const { action, name } = profile.service;
        return createArrivalTimes(perSecond, seconds, random).map((atMilliseconds, index) => {
            const subscriber = subscribers[random.getInteger(subscribers.length)]!;
            const isStatus = random.getFraction() >= profile.nonIdempotentShare;
            return {
                kind: "service" as const,
                atMilliseconds,
                subscriber,
                service: name,
                action: isStatus ? "status" as const : action,
                isResent: !isStatus && index % resendInterval === 0,
                key: isStatus ? `${name}-${random.getInteger(index + 1)}` : `${name}-${index}`,
            };
        });
    }

    /** Creates the requests of the one subscriber that asks for far more than its share. */
    function createExcess(): WorkloadRequest[] {
        const subscriber = subscribers[excessWorkspace * profile.subscribersPerWorkspace + excessSubscriber]!;
        const perSecond = (options.excessFactor ?? 0) * completionsPerSecond / subscribers.length;
        return createArrivalTimes(perSecond, seconds, random).map(time => {
            return { ...createCompletion(shapes.draw(isShifted(time), subscriber), time), isExcess: true };
        });
    }
}

function createCompletion(shape: CompletionShape, atMilliseconds: number): WorkloadRequest {
    return { ...shape, atMilliseconds, isExcess: false };
}

/** Gets how many later turns follow a completion on average. */
function getMeanTurns(profile: WorkloadProfile): number {
    return (1 - profile.shortShare) * profile.conversationShare * (1 + longestConversation) / 2;
}

/** Gets the mean length of prompts, by the same sample for every seed, so that a load is the same rate for all. */
function getMeanPromptTokens(profile: WorkloadProfile, subscribers: readonly WorkloadSubscriber[]): number {
    const shapes = createCompletionShapes(profile, subscribers, createRandomSource(getMixedSeed(sampleSeed)));
    let tokens = 0;
    for (let count = 0; count < sampledShapes; count++) {
        tokens += getPromptTokens(shapes.draw(false).parts);
    }
    return tokens / sampledShapes;
}

function drawBetween(random: RandomSource, bounds: { least: number; most: number; }): number {
    return bounds.least + random.getInteger(bounds.most - bounds.least + 1);
}
