/*
 * Applies load shedding before the first attempt of a request: later ones are limited by the retry budget, and a refusal
 * after a wait for a prefill would come too late for the caller to find a better moment.
 */
import { distinguishesRequests } from "../documents";
import { getWeightsVersion } from "../fleet";
import { ContentionReason } from "../metrics";
import { FleetInstance, RefusalReason } from "../protocol";
import { createLoadShedding } from "./createLoadShedding";
import { ForwarderOptions } from "./ForwarderOptions";
import { ForwardingTask } from "./ForwardingTask";
import { getSheddingDemand } from "./getSheddingDemand";
import { getTaskRefusal } from "./getTaskRefusal";
import { LoadTracker } from "./LoadTracker";
import { PromptScheduler } from "./PromptScheduler";
import { Refusal } from "./Refusal";
import { TaskShedding } from "./TaskShedding";

interface TaskSheddingOptions extends Pick<ForwarderOptions, "serverLimits" | "clock" | "random" | "metrics"> {
    /** The load of the backend servers. */
    loads: LoadTracker;
    /** Knows what engines have cached. */
    scheduler: Pick<PromptScheduler, "getMissingTokens">;
}

/**
 * Creates the load shedding of a forwarder.
 * @param options - The load and the other dependencies.
 */
export function createTaskShedding(options: TaskSheddingOptions): TaskShedding {
    const { loads, scheduler, serverLimits, clock, random, metrics } = options;
    const shedding = createLoadShedding({ loads, getWorkFactor: loads.getWorkFactor, clock, random });
    return {
        place,
        recordSent,
        recordEnd: (task, end) => shedding.recordEnd(task.runId, end),
    };

    /** Returns whether the deployment asks for it: by quotas in its routing document, or by servers that report their speed. */
    function isEnabled({ admission: { table: { document } } }: ForwardingTask): boolean {
        return distinguishesRequests(document) || loads.hasReportedSpeeds();
    }

    function place(
        task: ForwardingTask,
        chosen: FleetInstance,
        candidates: readonly FleetInstance[],
    ): { instance: FleetInstance; } | { refusal: Refusal; } {
        const isFirst = task.counts.sent === 0 && !task.hasWaitedForPrefill;
        if (!isFirst || !isEnabled(task)) {
            return { instance: chosen };
        }
        const demand = getSheddingDemand(task, clock.getMonotonicMilliseconds());
        const { prompt } = task.request;
        const alternatives = candidates.filter(candidate =>
            serverLimits.getWaitMilliseconds(candidate.instanceId) === 0
            && (!prompt || getWeightsVersion(candidate, prompt.model) === getWeightsVersion(chosen, prompt.model))
        );
        const decision = shedding.decide(
            demand,
            chosen,
            alternatives,
            instance => scheduler.getMissingTokens(task, instance),
        );
        if (decision.kind === "send") {
            return { instance: decision.instance };
        }
        const { retryAfterMilliseconds, ...inputs } = decision;
        metrics.countContentionRefusal(ContentionReason.ServersFull, decision.isOverShare);
        task.logger.info(
            { ...demand, ...inputs, retryAfterMilliseconds, candidateCount: alternatives.length },
            "request is shed",
        );
        return { refusal: getTaskRefusal(task, RefusalReason.OVERLOADED, retryAfterMilliseconds) };
    }

    function recordSent(task: ForwardingTask, { instanceId }: FleetInstance): void {
        if (isEnabled(task)) {
            shedding.recordSent(task.runId, getSheddingDemand(task, clock.getMonotonicMilliseconds()), instanceId);
        }
    }
}
