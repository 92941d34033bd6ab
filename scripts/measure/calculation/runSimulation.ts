/*
 * Simulates one policy on one workload in virtual time: the experiment tool's policies with the production placement,
 * prefix index and scheduler, in front of simulated engines.
 */
import { createFleetGroundTruth, createPolicyComponents, PolicyName } from "../../../src/experiment/policies";
import { RefusalReason } from "../../../src/protocol";
import { createRouteSearch, PlacementRequest } from "../../../src/routing";
import { createRandomSource } from "../../../src/runtime";
import { RequestSchedulerOptions, ScheduleOutcome } from "../../../src/sidecar";
import { createSimulatedSidecar } from "./createSimulatedSidecar";
import { createVirtualTime } from "./createVirtualTime";
import { SimulatedRequest } from "./SimulatedRequest";

const oneWayMilliseconds = 1;
/** The time after the last arrival in which the remaining requests may complete. */
const drainMilliseconds = 600_000;
const pieceTokens = 4_096;

/** The options of a simulation. */
export interface SimulationOptions {
    /** The policy to simulate. */
    policy: PolicyName;
    /** The requests, in the order of their arrival. */
    requests: readonly SimulatedRequest[];
    /** The number of sidecars, each with one engine. */
    replicas: number;
    /** The number of entry processes, which receive the requests in turn. */
    entries: number;
    /** The time from the start in which nothing is counted. */
    warmUpMilliseconds: number;
    /** Whether a more urgent request may interrupt a prefill between two chunks. */
    isPreemptive: boolean;
    /** The cache capacity of each engine, in blocks. */
    cacheBlocks: number;
    /** The prefill speed of each engine. */
    prefillTokensPerSecond: number;
    /** The time from a request's submission to its deadline. */
    deadlineMilliseconds: number;
    /** Options that override those of the scheduler. */
    scheduler?: Partial<RequestSchedulerOptions>;
    /** The fraction of cache events that are lost; none by default. */
    eventLossShare?: number;
    /** The time at which the first engine crashes; it doesn't crash by default. */
    crashMilliseconds?: number;
}

/** The outcome of one request. */
export interface SimulatedResponse {
    /** The request. */
    request: SimulatedRequest;
    /** The time from arrival to the first token at the caller; infinite without a first token. */
    firstTokenMilliseconds: number;
    /** The number of prompt tokens that came from the engine's cache. */
    cachedTokens: number;
    /** How often the request was sent to a sidecar. */
    dispatches: number;
    /** The reason of the last refusal, if the last dispatch was refused. */
    refusal: RefusalReason | undefined;
}

/** The result of a simulation, without the warm-up. */
export interface SimulationResult {
    /** The outcomes of the requests that arrived after the warm-up. */
    responses: readonly SimulatedResponse[];
    /** The number of tokens that the engines prefilled. */
    computedTokens: number;
    /** The number of prefilled tokens that `FleetTruth` counts as wasted. */
    wastedTokens: number;
}

/**
 * Simulates one policy on one workload.
 * @param options - The options.
 */
export async function runSimulation(options: SimulationOptions): Promise<SimulationResult> {
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
        return createSimulatedSidecar({ ...options, scheduler, time, truth, isEventLost, name: `engine-${index}` });
    });
    const candidates = sidecars.map(sidecar => sidecar.record);
    const sidecarsById = new Map(sidecars.map(sidecar => [sidecar.record.instanceId, sidecar]));
    const placements = [...Array(options.entries).keys()].map(parts.createPlacement);
    const responses: SimulatedResponse[] = [];
    let warmUpTokens = { computed: 0, wasted: 0 };
    options.requests.forEach((request, position) => {
        time.schedule(request.arrivalMilliseconds, () => void serve(request, position));
    });
    time.schedule(options.warmUpMilliseconds, () => {
        warmUpTokens = { computed: truth.getComputedTokens(), wasted: truth.getWastedTokens() };
    });
    if (options.crashMilliseconds !== undefined) {
        time.schedule(options.crashMilliseconds, sidecars[0]!.crash);
    }
    await time.runUntil(options.requests.at(-1)!.arrivalMilliseconds + drainMilliseconds);
    return {
        responses,
        computedTokens: truth.getComputedTokens() - warmUpTokens.computed,
        wastedTokens: truth.getWastedTokens() - warmUpTokens.wasted,
    };

    /** Routes a request as an entry process does. */
    async function serve(request: SimulatedRequest, position: number): Promise<void> {
        const response = createResponse(request);
        const placement = placements[position % placements.length]!;
        const route = createRouteSearch({
            placement,
            candidates,
            request: createPlacementRequest(request),
            mayRedirect: parts.mayRedirect,
        });
        for (let step = route.getNext(); step !== undefined; step = route.getNext()) {
            const { instanceId } = step.sidecar;
            const outcome = await dispatch(instanceId, request, response, step);
            response.refusal = outcome.kind === "refused" ? outcome.reason : undefined;
            if (response.refusal !== RefusalReason.BETTER_SIBLING || outcome.kind !== "refused") {
                return;
            }
            const { predictedCostMilliseconds, replicaCount: spread } = outcome.hint!;
            route.addEstimate(instanceId, { costMilliseconds: predictedCostMilliseconds, replicaCount: spread });
            placement.addObservation({ kind: "refused", instanceId, ...outcome.hint! });
        }
    }

    function createResponse(request: SimulatedRequest): SimulatedResponse {
        const response = {
            request,
            firstTokenMilliseconds: Infinity,
            cachedTokens: 0,
            dispatches: 0,
            refusal: undefined,
        };
        if (request.arrivalMilliseconds >= options.warmUpMilliseconds) {
            responses.push(response);
        }
        return response;
    }

    async function dispatch(
        instanceId: string,
        request: SimulatedRequest,
        response: SimulatedResponse,
        step: { mayRedirect: boolean; acceptBelowMilliseconds: number | undefined; },
    ): Promise<ScheduleOutcome> {
        response.dispatches++;
        await waitForNetwork();
        const outcome = await sidecarsById.get(instanceId)!.submit(request, { ...step, onFirstToken, onEnd });
        await (outcome.kind === "refused" ? waitForNetwork() : undefined);
        return outcome;

        function onFirstToken(): void {
            const now = time.clock.getMonotonicMilliseconds();
            response.firstTokenMilliseconds = now + oneWayMilliseconds - request.arrivalMilliseconds;
        }

        function onEnd(cachedTokens: number): void {
            response.cachedTokens = cachedTokens;
        }
    }

    function waitForNetwork(): Promise<void> {
        return new Promise(resolve => time.schedule(oneWayMilliseconds, resolve));
    }
}

function createPlacementRequest(request: SimulatedRequest): PlacementRequest {
    const { hashes, id, promptTokens } = request;
    return { modelOrService: "large", hashes, promptTokens, requestId: id, excluded: new Set() };
}
