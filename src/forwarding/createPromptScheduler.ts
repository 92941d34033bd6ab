/*
 * Schedules requests with prompts by the placement of their prefixes and the prefills in flight.
 */
import { FeedState } from "../feed";
import { FleetInstance } from "../protocol";
import { Clock, waitWithTimeout } from "../runtime";
import { EnginePlacement } from "./EnginePlacement";
import { ForwardingTask } from "./ForwardingTask";
import { getCacheScope } from "./getCacheScope";
import { PrefixSources } from "./PrefixSources";
import { PromptScheduler } from "./PromptScheduler";

/**
 * The share of a route's latency objective for which a request waits while an engine prefills its shared prefix for
 * another request: a second prefill of the prefix at the same time would delay both by as much.
 */
const prefillWaitShareOfTarget = 0.4;

/**
 * Creates the prompt scheduler of an entry process.
 * @param placement - Chooses engines.
 * @param state - Provides the fleet and the weights that should serve requests.
 * @param clock - The clock.
 */
export function createPromptScheduler(
    placement: EnginePlacement,
    state: Pick<FeedState, "getFleet" | "getDesiredWeights" | "getRouteTable">,
    clock: Clock,
): PromptScheduler {
    return {
        choose,
        getMissingTokens,
        waitForPrefill,
        startPrefill,
        recordPrefillEnd: task => placement.recordPrefillEnd(task.runId),
    };

    function choose(task: ForwardingTask, candidates: readonly FleetInstance[]): FleetInstance | undefined {
        const { request: { prompt }, admission: { service } } = task;
        const memoryTokens = service.kind === "engine" && service.kvCacheCapacityTokens > 0
            ? service.kvCacheCapacityTokens
            : Infinity;
        return prompt && placement.choose(
            prompt,
            getCacheScope(task, state),
            candidates,
            state.getDesiredWeights(prompt.model),
            memoryTokens,
        );
    }

    function getMissingTokens(task: ForwardingTask, instance: FleetInstance): number {
        const { prompt } = task.request;
        const instances = getInstances(instance.service);
        return prompt
            ? placement.getExpectedPrefillTokens(prompt, getCacheScope(task, state), instance, instances)
            : 0;
    }

    function getInstances(service: string): readonly FleetInstance[] {
        return (state.getFleet()?.instances ?? []).filter(instance => instance.service === service);
    }

    async function waitForPrefill(task: ForwardingTask, instance: FleetInstance): Promise<boolean> {
        const { request: { prompt }, admission: { route } } = task;
        const prefill = prompt && task.counts.sent === 0 && !task.hasWaitedForPrefill
            ? placement.getPrefillInFlight(prompt, getCacheScope(task, state), instance)
            : undefined;
        if (!prefill) {
            return false;
        }
        task.hasWaitedForPrefill = true;
        const timeoutMilliseconds = prefillWaitShareOfTarget * route.targetLatencyMilliseconds;
        await waitWithTimeout(clock, prefill, timeoutMilliseconds, task.signal);
        return true;
    }

    function startPrefill(task: ForwardingTask, instance: FleetInstance): PrefixSources | undefined {
        const { request: { prompt }, runId } = task;
        if (!prompt) {
            return undefined;
        }
        const scope = getCacheScope(task, state);
        const instances = getInstances(instance.service);
        const sources = placement.getPrefixSources(prompt, scope, instance, instances);
        task.prefillTokens = placement.getExpectedPrefillTokens(prompt, scope, instance, instances);
        placement.recordSent(runId, prompt, scope, instance);
        return sources;
    }
}
