/*
 * Passes one order on to the engine and determines its outcome.
 */
import { assertNever } from "../../errors";
import { Order } from "../../protocol";
import { isOrderApplied } from "./isOrderApplied";
import { OrderConclusion } from "./OrderConclusion";
import { OrderExecutorOptions } from "./OrderExecutorOptions";
import { OrderTiming } from "./OrderTiming";

type OrderExecutionContext = Pick<OrderExecutorOptions, "engine" | "clock" | "checkHealth">;

/**
 * Executes an order.
 * @param context - The engine, the clock and the health check.
 * @param timing - The timeouts and intervals.
 * @param order - The order, which has been begun.
 * @param hasBegunBefore - Whether an earlier run of the sidecar may have passed the order on to the engine.
 * @param signal - Aborts the execution because the sidecar is stopping.
 */
export async function executeOrder(
    context: OrderExecutionContext,
    timing: OrderTiming,
    order: Order,
    hasBegunBefore: boolean,
    signal: AbortSignal,
): Promise<OrderConclusion> {
    const { engine, clock } = context;
    if (hasBegunBefore && await isAppliedAfterLag()) {
        return checkHealth();
    }
    const startMilliseconds = clock.getMonotonicMilliseconds();
    const outcome = await executeWithTimeout();
    switch (outcome.kind) {
        case "done":
            return await isAppliedWithin(timing.confirmationTimeoutMilliseconds)
                ? checkHealth()
                : { kind: "failed", reason: "the engine does not report what it says it has done" };
        case "refused":
            return { kind: "failed", reason: outcome.reason };
        case "unknown":
            return await isAppliedEventually() ? checkHealth() : { kind: "lost", reason: outcome.reason };
        default:
            return assertNever(outcome);
    }

    /** Passes the order on and waits until its timeout. */
    async function executeWithTimeout(): ReturnType<OrderExecutionContext["engine"]["execute"]> {
        const cancellation = new AbortController();
        const timer = new AbortController();
        const execution = engine.execute(order, AbortSignal.any([signal, cancellation.signal]));
        const timeoutSleep = clock.sleep(timing.loadTimeoutMilliseconds, AbortSignal.any([signal, timer.signal]));
        const timeout = timeoutSleep.then(
            () => ({ kind: "unknown", reason: "the engine did not answer in time" } as const),
        );
        const outcome = await Promise.race([execution, timeout]);
        cancellation.abort();
        timer.abort();
        return outcome;
    }

    /** Waits until an order of unknown outcome is applied, or until the load can no longer be in progress. */
    async function isAppliedEventually(): Promise<boolean> {
        if (await isAppliedAfterLag()) {
            return true;
        }
        const elapsedMilliseconds = clock.getMonotonicMilliseconds() - startMilliseconds;
        return isAppliedWithin(timing.loadTimeoutMilliseconds - elapsedMilliseconds);
    }

    /** Reads the load report after its maximum lag, so that it can't be older than the order. */
    async function isAppliedAfterLag(): Promise<boolean> {
        await clock.sleep(timing.maximumReportLagMilliseconds, signal);
        return isApplied();
    }

    async function isAppliedWithin(milliseconds: number): Promise<boolean> {
        const deadlineMilliseconds = clock.getMonotonicMilliseconds() + milliseconds;
        while (!signal.aborted) {
            if (await isApplied()) {
                return true;
            }
            if (clock.getMonotonicMilliseconds() >= deadlineMilliseconds) {
                return false;
            }
            await clock.sleep(timing.pollIntervalMilliseconds, signal);
        }
        return false;
    }

    async function isApplied(): Promise<boolean> {
        const load = await engine.getLoad(signal);
        return load !== undefined && isOrderApplied(order, load);
    }

    async function checkHealth(): Promise<OrderConclusion> {
        const problem = await context.checkHealth?.(order, signal);
        return problem === undefined ? { kind: "done" } : { kind: "failed", reason: problem };
    }
}
