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
import { carryOutOrder } from "./carryOutOrder";
import { createOrderCommands } from "./createOrderCommands";
import { defaultOrderTiming } from "./defaultOrderTiming";
import { OrderConclusion } from "./OrderConclusion";
import { OrderGate } from "./OrderGate";
import { OrderGateOptions } from "./OrderGateOptions";
import { OrderTiming } from "./OrderTiming";

/**
 * Creates the gate of one sidecar and starts its task.
 * @param options - What the gate works with.
 */
export function createOrderGate(options: OrderGateOptions): OrderGate {
    const { sidecar, control, clock, logger, metrics } = options;
    const timing: OrderTiming = { ...defaultOrderTiming, ...options.timing };
    const stopping = new AbortController();
    const { signal } = stopping;
    const commands = createOrderCommands(options, timing, signal);
    let floor: FencingNumber | undefined;
    let pending: Order | undefined;
    let wake: (() => void) | undefined;
    const task = carryOrdersOut();
    return { addOrder, getFencingNumber: () => floor, stop };

    function addOrder(order: Order): void {
        const isMine = order.companion === sidecar && order.number !== undefined;
        if (!isMine || isLate(order) || isBehindPending(order)) {
            metrics.addCount(CounterName.OrdersRefused);
            return;
        }
        pending = order;
        wake?.();
    }

    /** Tells whether an order's number has passed or is ruled out. */
    function isLate(order: Order): boolean {
        return floor !== undefined && compareFencingNumbers(order.number!, floor) <= 0;
    }

    function isBehindPending(order: Order): boolean {
        return pending !== undefined && compareFencingNumbers(order.number!, pending.number!) <= 0;
    }

    async function carryOrdersOut(): Promise<void> {
        floor = await readFloor();
        while (!signal.aborted) {
            const order = await takePending();
            if (order !== undefined && !isLate(order)) {
                await handleSafely(order);
            }
        }
    }

    /** Asks the control members, until they answer, below which number no order stands. */
    async function readFloor(): Promise<FencingNumber | undefined> {
        let pause = timing.retryMilliseconds;
        while (!signal.aborted) {
            const outcome = await control.query(QueryKind.ORDERS, sidecar, true);
            if (outcome.kind === "answered") {
                return getFloor(outcome.value as OrdersAnswer);
            }
            await clock.sleep(pause, signal);
            pause = Math.min(pause * 2, timing.maximumRetryMilliseconds);
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

    async function handleSafely(order: Order): Promise<void> {
        try {
            await handle(order);
        }
        catch (error) {
            logger.error({ problem: getErrorMessage(error) }, "an order could not be handled");
        }
    }

    async function handle(order: Order): Promise<void> {
        floor = order.number;
        const release = await holdWork(order);
        if (release === undefined) {
            logger.warn({ order: describeOrder(order) }, "work in flight did not end in time for an order");
            return;
        }
        const conclusion = await beginAndCarryOut(order).finally(release);
        if (conclusion === undefined || signal.aborted) {
            return;
        }
        const isDone = conclusion.kind === "done";
        metrics.addCount(isDone ? CounterName.OrdersCarriedOut : CounterName.OrdersFailed);
        logger.info({ order: describeOrder(order), conclusion }, "concluded an order");
        await commands.end(order, conclusion, () => pending !== undefined);
    }

    /** Takes the engine out of service for orders that interrupt it. */
    async function holdWork(order: Order): Promise<(() => void) | undefined> {
        const isInterrupting = order.kind !== OrderKind.LOAD_ADAPTER;
        if (!isInterrupting || options.holdWork === undefined) {
            return () => undefined;
        }
        return options.holdWork(order, signal);
    }

    /** Carries an order out once it is confirmed; undefined where it is not, or the sidecar is stopping. */
    async function beginAndCarryOut(order: Order): Promise<OrderConclusion | undefined> {
        const begin = await commands.begin(order);
        switch (begin.kind) {
            case "begun":
                return signal.aborted
                    ? undefined
                    : carryOutOrder(options, timing, order, begin.hasBegunBefore, signal);
            case "refused":
                metrics.addCount(CounterName.OrdersRefused);
                return undefined;
            case "unreachable":
                floor = getNumberBefore(order.number!);
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
function getFloor(answer: OrdersAnswer): FencingNumber {
    const { openNumber, lastNumber } = answer;
    return openNumber === undefined ? toNumber(lastNumber) : getNumberBefore(toNumber(openNumber));
}

/** Gets the number just below one, so that the number itself may pass. */
function getNumberBefore(number: FencingNumber): FencingNumber {
    return create(FencingNumberSchema, { term: number.term, index: number.index - 1n });
}

/** Reads a number in decimal. */
function toNumber(stored: { term: string; index: string; }): FencingNumber {
    return create(FencingNumberSchema, { term: BigInt(stored.term), index: BigInt(stored.index) });
}

/** Describes an order for the log. */
function describeOrder(order: Order): string {
    const { number, kind, model, version, adapter, role } = order;
    return `${number!.term}/${number!.index} ${OrderKind[kind]} ${[model, version, adapter, role].join(" ").trim()}`;
}
