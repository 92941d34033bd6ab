/*
 * One engine's load of new weights. The engine leaves placement first and is back as soon as its own report shows the
 * version. Each order names the number of orders that the engine has taken, so that one that arrives late is void.
 */
import { create } from "@bufbuild/protobuf";
import { ConsensusRole } from "../control/consensus";
import { assertNever } from "../errors";
import { LoadedWeightsSchema } from "../protocol";
import { waitAtMost } from "../runtime";
import { getWeightsVersion } from "./getWeightsVersion";
import { RolloutOptions } from "./RolloutOptions";
import { UnresponsiveEngines } from "./UnresponsiveEngines";
import { WeightsLoad } from "./WeightsLoad";
import { WeightsOrderOutcome } from "./WeightsOrderOutcome";

/** How long entries have to turn away from the engine before the order, in milliseconds: a push and some delay. */
const routingUpdateMilliseconds = 100;
/** How often the engine's report is read meanwhile, in milliseconds: each reading is a call that costs the engine. */
const reportIntervalMilliseconds = 150;
/** How long one call may take, in milliseconds; engines answer within a few otherwise. */
const callTimeoutMilliseconds = 500;
/** After which time the load is given up, to be chosen again, in milliseconds: several times a slow load. */
const loadTimeoutMilliseconds = 6_000;
/** How long an accepted order is waited for before another one, in milliseconds: longer than an undisturbed load. */
const acceptedOrderDelayMilliseconds = 2_000;
/** How long to wait before an order is given again that had another answer or none, in milliseconds: a report's lag. */
const retryDelayMilliseconds = 400;

/**
 * Brings one engine to a version.
 * @param load - The engine and the version.
 * @param options - What rollouts are made of.
 * @param unresponsiveEngines - Told of an engine that does not answer.
 */
export async function runWeightsLoad(
    load: WeightsLoad,
    options: RolloutOptions,
    unresponsiveEngines: UnresponsiveEngines,
): Promise<void> {
    const { instance, model, weightsVersion } = load;
    const { fleetTracker: board, engineClient: engines, log, holder, clock, logger, signal } = options;
    const { instanceId } = instance;
    const { term } = log.getStatus();
    const fields = { instanceId, model, weightsVersion, fencingToken: String(term) };
    const start = clock.getMonotonicMilliseconds();
    board.setLoading(instanceId, true);
    await clock.sleep(routingUpdateMilliseconds, signal);
    let isDone = false;
    let nextOrderMilliseconds = 0;
    while (!isDone && isLeading() && clock.getMonotonicMilliseconds() < start + loadTimeoutMilliseconds) {
        const report = await waitAtMost(clock, engines.readReport(instance, getCallSignal()), callTimeoutMilliseconds);
        if (report) {
            isDone = (getWeightsVersion({ weights: [...report.weights] }, model) ?? 0) >= weightsVersion;
            board.recordWeights(instanceId, report.weights);
        }
        const isOrderDue = clock.getMonotonicMilliseconds() >= nextOrderMilliseconds;
        if (report && !isDone && !report.isBusy && isOrderDue && await confirmLeadership()) {
            isDone = await sendOrder(report.orderCount);
        }
        if (!report) {
            unresponsiveEngines.record(instanceId);
            break;
        }
        if (!isDone) {
            await clock.sleep(reportIntervalMilliseconds, signal);
        }
    }
    const milliseconds = Math.round(clock.getMonotonicMilliseconds() - start);
    logger.info({ ...fields, isDone, milliseconds }, isDone ? "engine serves new weights" : "load given up");
    if (isLeading()) {
        board.setLoading(instanceId, false);
    }

    function isLeading(): boolean {
        const status = log.getStatus();
        return !signal.aborted && status.role === ConsensusRole.Leader && status.term === term;
    }

    /** Tells whether a majority holds this process for the leader at this moment. */
    async function confirmLeadership(): Promise<boolean> {
        const barrier = await log.readBarrier();
        return barrier.kind === "passed" && isLeading();
    }

    /** Gives the order; tells whether nothing is left to do. */
    async function sendOrder(expectedOrderCount: number): Promise<boolean> {
        const outcome = await engines.orderWeights(
            { instance, model, weightsVersion, holder, fencingToken: term, expectedOrderCount },
            getCallSignal(),
        );
        logger.info({ ...fields, expectedOrderCount, outcome }, "ordered new weights");
        nextOrderMilliseconds = clock.getMonotonicMilliseconds() + getRetryDelayMilliseconds(outcome);
        if (outcome.kind === "holds") {
            board.recordWeights(instanceId, [create(LoadedWeightsSchema, { model, weightsVersion })]);
        }
        if (outcome.kind === "misdirected") {
            board.recordTermination(instanceId);
        }
        return outcome.kind === "holds" || outcome.kind === "misdirected";
    }

    function getCallSignal(): AbortSignal {
        return AbortSignal.any([signal, AbortSignal.timeout(callTimeoutMilliseconds)]);
    }
}

/** Gets how long to wait until the order may be given again, in milliseconds. */
function getRetryDelayMilliseconds(outcome: WeightsOrderOutcome): number {
    switch (outcome.kind) {
        case "accepted":
            return acceptedOrderDelayMilliseconds;
        case "fenced":
            return loadTimeoutMilliseconds;
        case "holds":
        case "conflict":
        case "misdirected":
        case "invalid":
        case "unknown":
            return retryDelayMilliseconds;
        default:
            return assertNever(outcome);
    }
}
