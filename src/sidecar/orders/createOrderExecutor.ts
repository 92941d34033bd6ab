/*
 * Guards the engine against orders that are late, repeated or out of order. Some engines would carry any of them out,
 * so it is here that a number passes once, never after a higher one, and only after the control members have confirmed
 * that it still stands.
 */
import { create } from "@bufbuild/protobuf";
import { OrdersAnswer } from "../../control/placement";
import { getErrorMessage } from "../../errors";
import { CounterName } from "../../metrics";
import { compareFencingNumbers, FencingNumber, FencingNumberSchema, Order, OrderKind, QueryKind } from "../../protocol";
import { createOrderCommands } from "./createOrderCommands";
import { defaultOrderTiming } from "./defaultOrderTiming";
import { executeOrder } from "./executeOrder";
import { OrderConclusion } from "./OrderConclusion";
import { OrderExecutor } from "./OrderExecutor";
import { OrderExecutorOptions } from "./OrderExecutorOptions";
import { OrderTiming } from "./OrderTiming";

/**
 * Creates the gate of one sidecar and starts its task.
 * @param options - What the gate works with.
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

    /** Tells whether an order's number has passed or is ruled out. */
    function isStale(order: Order): boolean {
        return fencingToken !== undefined && compareFencingNumbers(order.number!, fencingToken) <= 0;
    }

    function isSupersededByPending(order: Order): boolean {
        return pending !== undefined && compareFencingNumbers(order.number!, pending.number!) <= 0;
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

    /** Asks the control members, until they answer, below which number no order stands. */
    async function readFencingToken(): Promise<FencingNumber | undefined> {
        let retryDelayMilliseconds = timing.initialRetryDelayMilliseconds;
        while (!signal.aborted) {
            const outcome = await control.query(QueryKind.ORDERS, sidecarId, true);
            if (outcome.kind === "answered") {
                return getInitialFencingToken(outcome.value as OrdersAnswer);
            }
            await clock.sleep(retryDelayMilliseconds, signal);
            retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, timing.maximumRetryDelayMilliseconds);
        }
        return undefined;
    }

    /** Waits for an order. */
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
            logger.error({ problem: getErrorMessage(error) }, "an order could not be handled");
        }
    }

    async function handleOrder(order: Order): Promise<void> {
        fencingToken = order.number;
        const resume = await pauseWork(order);
        if (resume === undefined) {
            logger.warn({ order: describeOrder(order) }, "work in flight did not end in time for an order");
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

    /** Takes the engine out of service for orders that interrupt it. */
    async function pauseWork(order: Order): Promise<(() => void) | undefined> {
        const isInterrupting = order.kind !== OrderKind.LOAD_ADAPTER;
        if (!isInterrupting || options.pauseWork === undefined) {
            return () => undefined;
        }
        return options.pauseWork(order, signal);
    }

    /** Carries an order out once it is confirmed; undefined where it is not, or the sidecar is stopping. */
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

/** Gets the highest number that no order may have any more. */
function getInitialFencingToken(answer: OrdersAnswer): FencingNumber {
    const { openNumber, lastNumber } = answer;
    return openNumber === undefined ? parseFencingToken(lastNumber) : getPrecedingToken(parseFencingToken(openNumber));
}

/** Gets the number just below one, so that the number itself may pass. */
function getPrecedingToken(number: FencingNumber): FencingNumber {
    return create(FencingNumberSchema, { term: number.term, index: number.index - 1n });
}

/** Reads a number in decimal. */
function parseFencingToken(stored: { term: string; index: string; }): FencingNumber {
    return create(FencingNumberSchema, { term: BigInt(stored.term), index: BigInt(stored.index) });
}

/** Describes an order for the log. */
function describeOrder(order: Order): string {
    const { number, kind, model, version, adapter, role } = order;
    return `${number!.term}/${number!.index} ${OrderKind[kind]} ${[model, version, adapter, role].join(" ").trim()}`;
}
