/*
 * Runs one policy over one workload in virtual time: the experiment tool's policies with the placement, index and
 * scheduler as they ship, before calculated engines.
 */
import { createFleetGroundTruth, createPolicyComponents, PolicyName } from "../../../src/experiment/policies";
import { RefusalReason } from "../../../src/protocol";
import { createRouteSearch, PlacementRequest } from "../../../src/routing";
import { createRandomSource } from "../../../src/runtime";
import { RequestSchedulerOptions, ScheduleOutcome } from "../../../src/sidecar";
import { createModelSidecar } from "./createModelSidecar";
import { createVirtualTime } from "./createVirtualTime";
import { ModelRequest } from "./ModelRequest";

const oneWayMilliseconds = 1;
const farMilliseconds = 600_000;
const pieceTokens = 4_096;

/** The options of a calculation. */
export interface CalculationOptions {
    policy: PolicyName;
    requests: readonly ModelRequest[];
    replicas: number;
    entries: number;
    warmUpMilliseconds: number;
    isPreemptive: boolean;
    cachePieces: number;
    prefillTokensPerSecond: number;
    deadlineMilliseconds: number;
    scheduler?: Partial<RequestSchedulerOptions>;
    eventLossShare?: number;
    crashMilliseconds?: number;
}

/** What became of one request. */
export interface CalculatedAnswer {
    request: ModelRequest;
    firstTokenMilliseconds: number;
    cachedTokens: number;
    dispatches: number;
    refusal: RefusalReason | undefined;
}

/** What a calculation gave. */
export interface CalculationResult {
    answers: readonly CalculatedAnswer[];
    computedTokens: number;
    wastedTokens: number;
}

/** Runs one policy over one workload. */
export async function runCalculation(options: CalculationOptions): Promise<CalculationResult> {
    const { policy, prefillTokensPerSecond } = options;
    const time = createVirtualTime();
    const truth = createFleetGroundTruth(pieceTokens);
    const random = createRandomSource(5);
    const isEventLost = () => random.getFraction() < (options.eventLossShare ?? 0);
    const parts = createPolicyComponents(policy, {
        clock: time.clock,
        seed: 1,
        groundTruth: truth,
        blockTokens: pieceTokens,
        prefillTokensPerSecond,
    });
    const sidecars = [...Array(options.replicas).keys()].map(index => {
        const scheduler = options.scheduler ?? {};
        return createModelSidecar({ ...options, scheduler, time, truth, isEventLost, name: `engine-${index}` });
    });
    const candidates = sidecars.map(sidecar => sidecar.record);
    const byId = new Map(sidecars.map(sidecar => [sidecar.record.instanceId, sidecar]));
    const placements = [...Array(options.entries).keys()].map(parts.createPlacement);
    const answers: CalculatedAnswer[] = [];
    let warmUpTokens = { computed: 0, wasted: 0 };
    options.requests.forEach((request, position) => {
        time.after(request.arrivalMilliseconds, () => void serve(request, position));
    });
    time.after(options.warmUpMilliseconds, () => {
        warmUpTokens = { computed: truth.getComputedTokens(), wasted: truth.getWastedTokens() };
    });
    if (options.crashMilliseconds !== undefined) {
        time.after(options.crashMilliseconds, sidecars[0]!.crash);
    }
    await time.runUntil(options.requests.at(-1)!.arrivalMilliseconds + farMilliseconds);
    return {
        answers,
        computedTokens: truth.getComputedTokens() - warmUpTokens.computed,
        wastedTokens: truth.getWastedTokens() - warmUpTokens.wasted,
    };

    /** Serves a request as an entry does. */
    async function serve(request: ModelRequest, position: number): Promise<void> {
        const answer = createAnswer(request);
        const placement = placements[position % placements.length]!;
        const route = createRouteSearch({
            placement,
            candidates,
            request: createPlacementRequest(request),
            mayRedirect: parts.mayRedirect,
        });
        for (let step = route.getNext(); step !== undefined; step = route.getNext()) {
            const { instanceId } = step.sidecar;
            const outcome = await dispatch(instanceId, request, answer, step);
            answer.refusal = outcome.kind === "refused" ? outcome.reason : undefined;
            if (answer.refusal !== RefusalReason.BETTER_SIBLING || outcome.kind !== "refused") {
                return;
            }
            const { predictedCostMilliseconds, replicaCount: spread } = outcome.hint!;
            route.addEstimate(instanceId, { costMilliseconds: predictedCostMilliseconds, replicaCount: spread });
            placement.addObservation({ kind: "refused", instanceId, ...outcome.hint! });
        }
    }

    function createAnswer(request: ModelRequest): CalculatedAnswer {
        const answer = {
            request,
            firstTokenMilliseconds: Infinity,
            cachedTokens: 0,
            dispatches: 0,
            refusal: undefined,
        };
        if (request.arrivalMilliseconds >= options.warmUpMilliseconds) {
            answers.push(answer);
        }
        return answer;
    }

    async function dispatch(
        instanceId: string,
        request: ModelRequest,
        answer: CalculatedAnswer,
        step: { mayRedirect: boolean; acceptBelowMilliseconds: number | undefined; },
    ): Promise<ScheduleOutcome> {
        answer.dispatches++;
        await travel();
        const outcome = await byId.get(instanceId)!.take(request, { ...step, onFirstToken, onEnd });
        await (outcome.kind === "refused" ? travel() : undefined);
        return outcome;

        function onFirstToken(): void {
            const now = time.clock.getMonotonicMilliseconds();
            answer.firstTokenMilliseconds = now + oneWayMilliseconds - request.arrivalMilliseconds;
        }

        function onEnd(cachedTokens: number): void {
            answer.cachedTokens = cachedTokens;
        }
    }

    function travel(): Promise<void> {
        return new Promise(resolve => time.after(oneWayMilliseconds, resolve));
    }
}

/** Creates what placement needs to know of a request. */
function createPlacementRequest(request: ModelRequest): PlacementRequest {
    const { hashes, id, promptTokens } = request;
    return { modelOrService: "large", hashes, promptTokens, requestId: id, excluded: new Set() };
}
