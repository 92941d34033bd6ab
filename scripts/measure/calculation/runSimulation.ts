/*
 * Runs one policy over one workload in virtual time: the experiment tool's policies with the placement, index and
 * scheduler as they ship, before calculated engines.
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
const drainMilliseconds = 600_000;
const pieceTokens = 4_096;

/** The options of a calculation. */
export interface SimulationOptions {
    policy: PolicyName;
    requests: readonly SimulatedRequest[];
    replicas: number;
    entries: number;
    warmUpMilliseconds: number;
    isPreemptive: boolean;
    cacheBlocks: number;
    prefillTokensPerSecond: number;
    deadlineMilliseconds: number;
    scheduler?: Partial<RequestSchedulerOptions>;
    eventLossShare?: number;
    crashMilliseconds?: number;
}

/** What became of one request. */
export interface SimulatedResponse {
    request: SimulatedRequest;
    firstTokenMilliseconds: number;
    cachedTokens: number;
    dispatches: number;
    refusal: RefusalReason | undefined;
}

/** What a calculation gave. */
export interface SimulationResult {
    responses: readonly SimulatedResponse[];
    computedTokens: number;
    wastedTokens: number;
}

/** Runs one policy over one workload. */
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

    /** Serves a request as an entry does. */
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

/** Creates what placement needs to know of a request. */
function createPlacementRequest(request: SimulatedRequest): PlacementRequest {
    const { hashes, id, promptTokens } = request;
    return { modelOrService: "large", hashes, promptTokens, requestId: id, excluded: new Set() };
}
