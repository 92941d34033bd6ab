/*
 * The commands by which a sidecar commits that it begins an order and how the order ended.
 */
import { create } from "@bufbuild/protobuf";
import { ExecuteResult } from "../../control";
import { CommandSchema, Order, RolloutStep, RolloutStepSchema } from "../../protocol";
import { BeginOrderOutcome } from "./BeginOrderOutcome";
import { OrderConclusion } from "./OrderConclusion";
import { OrderExecutorOptions } from "./OrderExecutorOptions";
import { OrderTiming } from "./OrderTiming";

/** Commits the begin and the conclusion of orders. */
interface OrderCommands {
    /** Commits that an order is about to be passed on, if it is still valid. */
    begin(order: Order): Promise<BeginOrderOutcome>;
    /**
     * Commits an order's conclusion, with retries until it is committed.
     * @param order - The order.
     * @param conclusion - The conclusion on the order.
     * @param isSuperseded - Returns whether a newer order makes the report useless.
     */
    end(order: Order, conclusion: OrderConclusion, isSuperseded: () => boolean): Promise<void>;
}

/**
 * Creates the commands.
 * @param options - The sidecar's identity, the client of the control members and the clock.
 * @param timing - The timeouts and retry delays.
 * @param signal - Aborts all commands because the sidecar is stopping.
 */
export function createOrderCommands(
    options: Pick<OrderExecutorOptions, "sidecarId" | "incarnation" | "control" | "clock">,
    timing: OrderTiming,
    signal: AbortSignal,
): OrderCommands {
    const { sidecarId, incarnation, control, clock } = options;
    return { begin, end };

    async function begin(order: Order): Promise<BeginOrderOutcome> {
        const deadlineMilliseconds = clock.getMonotonicMilliseconds() + timing.beginTimeoutMilliseconds;
        let retryDelayMilliseconds = timing.initialRetryDelayMilliseconds;
        while (!signal.aborted && clock.getMonotonicMilliseconds() < deadlineMilliseconds) {
            const sentMilliseconds = clock.getMonotonicMilliseconds();
            const result = await commit(createStep(order, { begun: true }));
            const outcome = getBeginOutcome(result);
            const isFresh = clock.getMonotonicMilliseconds() - sentMilliseconds <= timing.maximumBeginAgeMilliseconds;
            if (outcome.kind === "refused" || outcome.kind === "begun" && isFresh) {
                return outcome;
            }
            await clock.sleep(retryDelayMilliseconds, signal);
            retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, timing.maximumRetryDelayMilliseconds);
        }
        return { kind: "unreachable" };
    }

    async function end(order: Order, conclusion: OrderConclusion, isSuperseded: () => boolean): Promise<void> {
        const step = createStep(order, {
            ended: true,
            succeeded: conclusion.kind === "done",
            lost: conclusion.kind === "lost",
            reason: conclusion.kind === "done" ? "" : conclusion.reason,
        });
        let retryDelayMilliseconds = timing.initialRetryDelayMilliseconds;
        while (!signal.aborted && !isSuperseded()) {
            const result = await commit(step);
            if (result.kind === "committed") {
                return;
            }
            await clock.sleep(retryDelayMilliseconds, signal);
            retryDelayMilliseconds = Math.min(retryDelayMilliseconds * 2, timing.maximumRetryDelayMilliseconds);
        }
    }

    function createStep(
        order: Order,
        content: Partial<Pick<RolloutStep, "begun" | "ended" | "succeeded" | "lost" | "reason">>,
    ): RolloutStep {
        return create(RolloutStepSchema, {
            ...content,
            model: order.model,
            version: order.version,
            companion: sidecarId,
            companionIncarnation: incarnation,
            number: order.number,
        });
    }

    function commit(step: RolloutStep): Promise<ExecuteResult> {
        const command = create(CommandSchema, { command: { case: "rolloutStep", value: step } });
        return control.execute(command, signal);
    }
}

/** Converts the result of the command that begins an order. */
function getBeginOutcome(result: ExecuteResult): BeginOrderOutcome {
    if (result.kind !== "committed" || result.result.result.case !== "rollout") {
        return { kind: "unreachable" };
    }
    const { accepted, reason } = result.result.result.value;
    return accepted ? { kind: "begun", hasBegunBefore: reason !== "" } : { kind: "refused", reason };
}
