/*
 * Decides on requests with prompts by the placement over engines and the reads that are under way.
 */
import { FeedState } from "../feed";
import { FleetInstance } from "../protocol";
import { Clock, waitAtMost } from "../runtime";
import { EnginePlacement } from "./EnginePlacement";
import { ForwardingTask } from "./ForwardingTask";
import { PrefixSources } from "./PrefixSources";
import { PromptScheduler } from "./PromptScheduler";

/**
 * The part of a route's latency objective for which a request waits while another one's engine reads the beginning that
 * both share: reading it twice at once costs both as much.
 */
const prefillWaitShareOfTarget = 0.4;

/**
 * Creates the decisions of an entry.
 * @param placement - Chooses engines.
 * @param state - Knows the fleet and the weights that should answer.
 * @param clock - The passing of time.
 */
export function createPromptScheduler(
    placement: EnginePlacement,
    state: Pick<FeedState, "getFleet" | "getWantedWeights">,
    clock: Clock,
): PromptScheduler {
    return {
        choose,
        waitForPrefill,
        startPrefill,
        recordPrefillEnd: task => placement.recordPrefillEnd(task.request.requestId),
    };

    function choose(task: ForwardingTask, candidates: readonly FleetInstance[]): FleetInstance | undefined {
        const { prompt } = task.request;
        return prompt
            && placement.choose(prompt, getScope(task), candidates, state.getWantedWeights(prompt.model));
    }

    async function waitForPrefill(task: ForwardingTask, instance: FleetInstance): Promise<boolean> {
        const { request: { prompt }, admission: { route } } = task;
        const prefill = prompt && task.sentCount === 0 && !task.hasWaitedForPrefill
            ? placement.getPrefillInFlight(prompt, getScope(task), instance)
            : undefined;
        if (!prefill) {
            return false;
        }
        task.hasWaitedForPrefill = true;
        await waitAtMost(clock, prefill, prefillWaitShareOfTarget * route.targetLatencyMilliseconds);
        return true;
    }

    function startPrefill(task: ForwardingTask, instance: FleetInstance): PrefixSources | undefined {
        const { prompt, requestId } = task.request;
        if (!prompt) {
            return undefined;
        }
        const sources = placement.getPrefixSources(prompt, getScope(task), instance, state.getFleet()?.instances ?? []);
        placement.recordSent(requestId, prompt, getScope(task), instance);
        return sources;
    }
}

/** Gets the workspace within which a request's cached parts may be shared; empty for all. */
function getScope({ admission: { workspace } }: ForwardingTask): string {
    return workspace?.isIsolated ? workspace.name : "";
}
