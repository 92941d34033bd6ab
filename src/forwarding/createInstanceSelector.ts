/*
 * Selects backend servers by placement or load, among those that are in service, have not been tried and have not used up
 * their limits.
 */
import { FeedState } from "../feed";
import { getWeightsVersion } from "../fleet";
import { FleetInstance, RefusalReason } from "../protocol";
import { RandomSource } from "../runtime";
import { ServerLimits } from "../serverLimits";
import { chooseLeastLoadedInstance } from "./chooseLeastLoadedInstance";
import { ForwardingTask } from "./ForwardingTask";
import { getTaskRefusal } from "./getTaskRefusal";
import { InstanceSelector } from "./InstanceSelector";
import { LoadTracker } from "./LoadTracker";
import { PromptScheduler } from "./PromptScheduler";
import { Refusal } from "./Refusal";

interface InstanceSelectorOptions {
    /** Provides the fleet. */
    state: Pick<FeedState, "getFleet">;
    /** Chooses engines for prompts. */
    scheduler: PromptScheduler;
    /** The load of the backend servers. */
    loads: LoadTracker;
    /** Returns whether a backend server is silent, and has not responded to a probe yet. */
    isProbed(instanceId: string): boolean;
    /** The limits that backend servers name. */
    serverLimits: ServerLimits;
    /** The entry process's data centre. */
    dataCentre: string;
    /** Decides between equals, and spreads callers that are refused. */
    random: RandomSource;
}

/**
 * Creates the selector of an entry process.
 * @param options - What the selection depends on.
 */
export function createInstanceSelector(options: InstanceSelectorOptions): InstanceSelector {
    const { state, scheduler, loads, isProbed, serverLimits, dataCentre, random } = options;
    return { getCandidates, choose, getLimitRefusal, canTakeOver };

    function getCandidates(task: ForwardingTask): readonly FleetInstance[] {
        const { admission: { service }, triedInstanceIds } = task;
        return (state.getFleet()?.instances ?? []).filter(instance =>
            instance.service === service.name && !instance.isLeaving && !triedInstanceIds.has(instance.instanceId)
            && hasKnownWeights(task, instance)
            && (task.softwareVersion === undefined || instance.softwareVersion === task.softwareVersion)
        );
    }

    function choose(task: ForwardingTask, candidates: readonly FleetInstance[]): FleetInstance | undefined {
        const { request: { prompt }, admission: { service } } = task;
        const allowed = candidates.filter(({ instanceId }) => serverLimits.getWaitMilliseconds(instanceId) === 0);
        return service.kind === "engine" && prompt
            ? scheduler.choose(task, allowed)
            : chooseLeastLoadedInstance(allowed, loads, dataCentre, random);
    }

    /** The delay is random, since callers that return together would find the same limit used up. */
    function getLimitRefusal(task: ForwardingTask, candidates: readonly FleetInstance[]): Refusal {
        const waits = candidates.map(({ instanceId }) => serverLimits.getWaitMilliseconds(instanceId));
        return getTaskRefusal(task, RefusalReason.OVERLOADED, Math.min(...waits) * (1 + random.getFraction()));
    }

    function canTakeOver(task: ForwardingTask): boolean {
        return getCandidates(task).some(({ instanceId }) =>
            !loads.isSuspected(instanceId) && !isProbed(instanceId)
            && serverLimits.getWaitMilliseconds(instanceId) === 0
        );
    }
}

/**
 * Returns whether it is known which weights would serve a request at an engine: the version of the requested model's. A
 * request that names no model needs an engine that has any. Backend servers of plain services have no weights.
 */
function hasKnownWeights(
    { request: { prompt }, admission: { service } }: ForwardingTask,
    instance: FleetInstance,
): boolean {
    if (service.kind !== "engine") {
        return true;
    }
    return prompt ? getWeightsVersion(instance, prompt.model) !== undefined : instance.weights.length > 0;
}
