/*
 * One engine's load of new weights. Entry processes first stop routing requests to the engine, and resume as soon as
 * the engine's own report shows the version. Each order names the number of orders that the engine has accepted, so
 * that the engine refuses an order that arrives late.
 */
import { create } from "@bufbuild/protobuf";
import { ConsensusRole, hasPassed } from "../control/consensus";
import { assertNever } from "../errors";
import { LoadedWeightsSchema } from "../protocol";
import { runWithTimeout } from "../runtime";
import { getWeightsVersion } from "./getWeightsVersion";
import { RolloutOptions } from "./RolloutOptions";
import { UnresponsiveEngines } from "./UnresponsiveEngines";
import { WeightsLoad } from "./WeightsLoad";
import { WeightsOrderOutcome } from "./WeightsOrderOutcome";

/**
 * How long entry processes have to stop routing to the engine before the order, in milliseconds: a push and some delay.
 */
const routingUpdateMilliseconds = 100;
/**
 * The pause between two readings of the engine's report, in milliseconds; each reading is a call that costs the engine.
 */
const reportIntervalMilliseconds = 150;
/** The timeout of one call, in milliseconds; without faults, engines respond within a few. */
const callTimeoutMilliseconds = 500;
/** The time after which the load is abandoned, to be chosen again, in milliseconds: several times a slow load. */
const loadTimeoutMilliseconds = 6_000;
/** The delay before another order after an accepted one, in milliseconds: longer than a load without faults. */
const acceptedOrderDelayMilliseconds = 2_000;
/** The delay before another order after any other response or none, in milliseconds: the lag of an engine's report. */
const retryDelayMilliseconds = 400;

/**
 * Brings one engine to a weights version. The load ends when the engine serves the version, does not respond or has
 * terminated, when the time is over or when this process is no longer the leader.
 * @param load - The engine and the version.
 * @param options - The options of rollouts.
 * @param unresponsiveEngines - Records the engine if it does not respond.
 */
export async function runWeightsLoad(
    load: WeightsLoad,
    options: RolloutOptions,
    unresponsiveEngines: UnresponsiveEngines,
): Promise<void> {
    const { instance, model, weightsVersion } = load;
    const { fleetTracker, engineClient, log, holder, clock, logger, signal } = options;
    const { instanceId } = instance;
    const { term } = log.getStatus();
    const fields = { instanceId, model, weightsVersion, fencingToken: String(term) };
    const startMilliseconds = clock.getMonotonicMilliseconds();
    let isDone = false;
    let nextOrderMilliseconds = 0;
    fleetTracker.setLoading(instanceId, true);
    try {
        await clock.sleep(routingUpdateMilliseconds, signal);
        await orderUntilDone();
    }
    catch (thrown) {
        // Keeps a load that always fails from being chosen again at once.
        unresponsiveEngines.record(instanceId);
        throw thrown;
    }
    finally {
        if (isLeading()) {
            fleetTracker.setLoading(instanceId, false);
        }
    }
    const milliseconds = Math.round(clock.getMonotonicMilliseconds() - startMilliseconds);
    logger.info({ ...fields, isDone, milliseconds }, isDone ? "engine serves new weights" : "load given up");

    async function orderUntilDone(): Promise<void> {
        while (
            !isDone && isLeading() && clock.getMonotonicMilliseconds() < startMilliseconds + loadTimeoutMilliseconds
        ) {
            const report = await callEngine(limit => engineClient.readReport(instance, limit));
            if (report) {
                isDone = (getWeightsVersion({ weights: [...report.weights] }, model) ?? 0) >= weightsVersion;
                fleetTracker.recordWeights(instanceId, report.weights);
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
    }

    function isLeading(): boolean {
        const status = log.getStatus();
        return !signal.aborted && status.role === ConsensusRole.Leader && status.term === term;
    }

    /** Checks with a read barrier that a majority still accepts this process as the leader. */
    async function confirmLeadership(): Promise<boolean> {
        const barrier = await log.readBarrier();
        return hasPassed(barrier) && isLeading();
    }

    /**
     * Sends the order; returns whether the load is finished, because the version is served or the engine has
     * terminated.
     */
    async function sendOrder(expectedOrderCount: number): Promise<boolean> {
        const order = { instance, model, weightsVersion, holder, fencingToken: term, expectedOrderCount };
        const outcome = await callEngine(limit => engineClient.orderWeights(order, limit));
        logger.info({ ...fields, expectedOrderCount, outcome }, "ordered new weights");
        nextOrderMilliseconds = clock.getMonotonicMilliseconds() + getRetryDelayMilliseconds(outcome);
        if (outcome.kind === "holds") {
            fleetTracker.recordWeights(instanceId, [create(LoadedWeightsSchema, { model, weightsVersion })]);
        }
        if (outcome.kind === "misdirected") {
            fleetTracker.recordTermination(instance);
        }
        return outcome.kind === "holds" || outcome.kind === "misdirected";
    }

    function callEngine<T>(call: (limit: AbortSignal) => Promise<T>): Promise<T> {
        return runWithTimeout(clock, callTimeoutMilliseconds, signal, call);
    }
}

/** Gets the delay until the order may be sent again, in milliseconds. */
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
