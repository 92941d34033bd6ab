/*
 * What a sidecar has committed about its own orders: that it begins one, and how it ended.
 */
import { create } from "@bufbuild/protobuf";
import { ExecuteResult } from "../../control";
import { CommandSchema, Order, RolloutStep, RolloutStepSchema } from "../../protocol";
import { BeginOrderOutcome } from "./BeginOrderOutcome";
import { OrderConclusion } from "./OrderConclusion";
import { OrderExecutorOptions } from "./OrderExecutorOptions";
import { OrderTiming } from "./OrderTiming";

/** Commits what becomes of orders. */
interface OrderCommands {
    /** Asks whether an order still stands, and notes that it is about to be passed on. */
    begin(order: Order): Promise<BeginOrderOutcome>;
    /**
     * Reports an order's conclusion until it is committed.
     * @param isSuperseded - Tells whether the report is of no more use.
     */
    end(order: Order, conclusion: OrderConclusion, isSuperseded: () => boolean): Promise<void>;
}

/**
 * Creates the commands.
 * @param options - The gate's options.
 * @param timing - The gate's times.
 * @param signal - Gives everything up, since the sidecar is stopping.
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

/** Reads the answer to a begin. */
function getBeginOutcome(result: ExecuteResult): BeginOrderOutcome {
    if (result.kind !== "committed" || result.result.result.case !== "rollout") {
        return { kind: "unreachable" };
    }
    const { accepted, reason } = result.result.result.value;
    return accepted ? { kind: "begun", hasBegunBefore: reason !== "" } : { kind: "refused", reason };
}
