/*
 * Protects the engine from orders that are late, duplicated or out of order. Some engines would execute any of them, so
 * the executor passes an order on only if its fencing token is higher than all earlier ones and the control members
 * have confirmed that the order is still valid.
 */
import { create } from "@bufbuild/protobuf";
import { OrdersResponse } from "../../control/placement";
import { getErrorMessage } from "../../errors";
import { CounterName } from "../../metrics";
import { compareFencingTokens, FencingNumber, FencingNumberSchema, Order, OrderKind, QueryKind } from "../../protocol";
import { createOrderCommands } from "./createOrderCommands";
import { defaultOrderTiming } from "./defaultOrderTiming";
import { executeOrder } from "./executeOrder";
import { OrderConclusion } from "./OrderConclusion";
import { OrderExecutor } from "./OrderExecutor";
import { OrderExecutorOptions } from "./OrderExecutorOptions";
import { OrderTiming } from "./OrderTiming";

/**
 * Creates the order executor of one sidecar and starts its task.
 * @param options - The parameters and dependencies of the executor.
 */
export function createOrderExecutor(options: OrderExecutorOptions): OrderExecutor {
    const { sidecarId, control, clock, logger, metrics } = options;
    const timing: OrderTiming = { ...defaultOrderTiming, ...options.timing };
    const stopping = new AbortController();
    const { signal } = stopping;
    const commands = createOrderCommands(options, timing, signal);
    let fencingToken: FencingNumber | undefined;
    let pending: Order | undefined;
    let wake: (() => void) | undefined;
    const task = processOrders();
    return { addOrder, getFencingToken: () => fencingToken, stop };

    function addOrder(order: Order): void {
        const isOwn = order.companion === sidecarId && order.number !== undefined;
        if (!isOwn || isStale(order) || isSupersededByPending(order)) {
            metrics.addCount(CounterName.OrdersRefused);
            return;
        }
        pending = order;
        wake?.();
    }

    /** Returns whether an order's fencing token has been accepted already or is ruled out. */
    function isStale(order: Order): boolean {
        return fencingToken !== undefined && compareFencingTokens(order.number!, fencingToken) <= 0;
    }

    function isSupersededByPending(order: Order): boolean {
        return pending !== undefined && compareFencingTokens(order.number!, pending.number!) <= 0;
    }

    async function processOrders(): Promise<void> {
        fencingToken = await readFencingToken();
        while (!signal.aborted) {
            const order = await takePending();
            if (order !== undefined && !isStale(order)) {
                await handleAndLogError(order);
            }
        }
    }

    /** Reads from the control members, with retries, the highest fencing token that is ruled out. */
    async function readFencingToken(): Promise<FencingNumber | undefined> {
        let retryDelayMilliseconds = timing.initialRetryDelayMilliseconds;
        while (!signal.aborted) {
            const outcome = await control.query(QueryKind.ORDERS, sidecarId, true);
            if (outcome.kind === "answered") {
                return getInitialFencingToken(outcome.value as OrdersResponse);
            }
            await clock.sleep(retryDelayMilliseconds, signal);
            retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, timing.maximumRetryDelayMilliseconds);
        }
        return undefined;
    }

    /** Waits for an order and takes it. */
    async function takePending(): Promise<Order | undefined> {
        if (pending === undefined && !signal.aborted) {
            await new Promise<void>(resolve => wake = resolve);
        }
        const order = pending;
        pending = undefined;
        return order;
    }

    async function handleAndLogError(order: Order): Promise<void> {
        try {
            await handleOrder(order);
        }
        catch (error) {
            logger.error({ problem: getErrorMessage(error) }, "failed to handle an order");
        }
    }

    async function handleOrder(order: Order): Promise<void> {
        fencingToken = order.number;
        const resume = await pauseWork(order);
        if (resume === undefined) {
            logger.warn(
                { order: describeOrder(order) },
                "requests in flight did not end in time; an order was not executed",
            );
            return;
        }
        const conclusion = await beginAndExecute(order).finally(resume);
        if (conclusion === undefined || signal.aborted) {
            return;
        }
        const isDone = conclusion.kind === "done";
        metrics.addCount(isDone ? CounterName.OrdersCarriedOut : CounterName.OrdersFailed);
        logger.info({ order: describeOrder(order), conclusion }, "concluded an order");
        await commands.end(order, conclusion, () => pending !== undefined);
    }

    /** Takes the engine out of service if the order interrupts it. */
    async function pauseWork(order: Order): Promise<(() => void) | undefined> {
        const isInterrupting = order.kind !== OrderKind.LOAD_ADAPTER;
        if (!isInterrupting || options.pauseWork === undefined) {
            return () => undefined;
        }
        return options.pauseWork(order, signal);
    }

    /** Executes an order after it is confirmed; undefined if it isn't confirmed or the sidecar is stopping. */
    async function beginAndExecute(order: Order): Promise<OrderConclusion | undefined> {
        const begin = await commands.begin(order);
        switch (begin.kind) {
            case "begun":
                return signal.aborted
                    ? undefined
                    : executeOrder(options, timing, order, begin.hasBegunBefore, signal);
            case "refused":
                metrics.addCount(CounterName.OrdersRefused);
                return undefined;
            case "unreachable":
                fencingToken = getPrecedingToken(order.number!);
                return undefined;
        }
    }

    async function stop(): Promise<void> {
        stopping.abort();
        wake?.();
        await task;
    }
}

/** Gets the highest fencing token that is ruled out for further orders. */
function getInitialFencingToken(response: OrdersResponse): FencingNumber {
    const { openNumber, lastNumber } = response;
    return openNumber === undefined ? parseFencingToken(lastNumber) : getPrecedingToken(parseFencingToken(openNumber));
}

/** Gets the fencing token just below the given one, so that the given one is still accepted. */
function getPrecedingToken(number: FencingNumber): FencingNumber {
    return create(FencingNumberSchema, { term: number.term, index: number.index - 1n });
}

/** Parses a fencing token from its decimal strings. */
function parseFencingToken(stored: { term: string; index: string; }): FencingNumber {
    return create(FencingNumberSchema, { term: BigInt(stored.term), index: BigInt(stored.index) });
}

/** Describes an order for the log. */
function describeOrder(order: Order): string {
    const { number, kind, model, version, adapter, role } = order;
    return `${number!.term}/${number!.index} ${OrderKind[kind]} ${[model, version, adapter, role].join(" ").trim()}`;
}
