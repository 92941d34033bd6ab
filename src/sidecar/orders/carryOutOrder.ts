/*
 * Passes one order on to the engine and finds out what became of it.
 */
import { assertNever } from "../../errors";
import { Order } from "../../protocol";
import { isOrderInPlace } from "./isOrderInPlace";
import { OrderConclusion } from "./OrderConclusion";
import { OrderGateOptions } from "./OrderGateOptions";
import { OrderTiming } from "./OrderTiming";

type Surroundings = Pick<OrderGateOptions, "engine" | "clock" | "checkHealth">;

/**
 * Carries an order out.
 * @param surroundings - The engine and the clock.
 * @param timing - The gate's times.
 * @param order - The order, which has been begun.
 * @param hasBegunBefore - Whether a former run of the sidecar may have passed the order on.
 * @param signal - Gives the order up, since the sidecar is stopping.
 */
export async function carryOutOrder(
    surroundings: Surroundings,
    timing: OrderTiming,
    order: Order,
    hasBegunBefore: boolean,
    signal: AbortSignal,
): Promise<OrderConclusion> {
    const { engine, clock } = surroundings;
    if (hasBegunBefore && await isInPlaceAfterLag()) {
        return checkHealth();
    }
    const startMilliseconds = clock.getMonotonicMilliseconds();
    const outcome = await executeInTime();
    switch (outcome.kind) {
        case "done":
            return await isInPlaceWithin(timing.confirmDeadlineMilliseconds)
                ? checkHealth()
                : { kind: "failed", reason: "the engine does not report what it says it has done" };
        case "refused":
            return { kind: "failed", reason: outcome.reason };
        case "unknown":
            return await isSettled() ? checkHealth() : { kind: "lost", reason: outcome.reason };
        default:
            return assertNever(outcome);
    }

    /** Passes the order on, and gives up waiting at its deadline. */
    async function executeInTime(): ReturnType<Surroundings["engine"]["execute"]> {
        const giveUp = new AbortController();
        const timer = new AbortController();
        const pass = engine.execute(order, AbortSignal.any([signal, giveUp.signal]));
        const deadline = clock.sleep(timing.loadDeadlineMilliseconds, AbortSignal.any([signal, timer.signal]));
        const late = deadline.then(() => ({ kind: "unknown", reason: "the engine did not answer in time" } as const));
        const first = await Promise.race([pass, late]);
        giveUp.abort();
        timer.abort();
        return first;
    }

    /** Waits until an order of unknown outcome is seen in place, or could no longer be loading. */
    async function isSettled(): Promise<boolean> {
        if (await isInPlaceAfterLag()) {
            return true;
        }
        const elapsed = clock.getMonotonicMilliseconds() - startMilliseconds;
        return isInPlaceWithin(timing.loadDeadlineMilliseconds - elapsed);
    }

    /** Reads the load report once it can't be older than the order. */
    async function isInPlaceAfterLag(): Promise<boolean> {
        await clock.sleep(timing.reportLagMilliseconds, signal);
        return isInPlace();
    }

    async function isInPlaceWithin(milliseconds: number): Promise<boolean> {
        const deadline = clock.getMonotonicMilliseconds() + milliseconds;
        while (!signal.aborted) {
            if (await isInPlace()) {
                return true;
            }
            if (clock.getMonotonicMilliseconds() >= deadline) {
                return false;
            }
            await clock.sleep(timing.pollMilliseconds, signal);
        }
        return false;
    }

    async function isInPlace(): Promise<boolean> {
        const load = await engine.getLoad(signal);
        return load !== undefined && isOrderInPlace(order, load);
    }

    async function checkHealth(): Promise<OrderConclusion> {
        const problem = await surroundings.checkHealth?.(order, signal);
        return problem === undefined ? { kind: "done" } : { kind: "failed", reason: problem };
    }
}
