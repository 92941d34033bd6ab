/*
 * Decides on requests with prompts by the placement over engines and the reads that are under way.
 */
import { FeedState } from "../feed";
import { FleetInstance } from "../protocol";
import { Clock, waitAtMost } from "../runtime";
import { EnginePlacement } from "./EnginePlacement";
import { ForwardingTask } from "./ForwardingTask";
import { PrefixSources } from "./PrefixSources";
import { PromptDispatch } from "./PromptDispatch";

/**
 * The part of a route's latency objective for which a request waits while another one's engine reads the beginning that
 * both share: reading it twice at once costs both as much.
 */
const sharedReadPart = 0.4;

/**
 * Creates the decisions of an entry.
 * @param placement - Chooses engines.
 * @param state - Knows the fleet and the weights that should answer.
 * @param clock - The passing of time.
 */
export function createPromptDispatch(
    placement: EnginePlacement,
    state: Pick<FeedState, "getFleet" | "getWantedWeights">,
    clock: Clock,
): PromptDispatch {
    return {
        choose,
        waitForRead,
        takeSources,
        noteRead: task => placement.noteRead(task.request.requestId),
    };

    function choose(task: ForwardingTask, candidates: readonly FleetInstance[]): FleetInstance | undefined {
        const { prompt } = task.request;
        return prompt
            && placement.choose(prompt, getScope(task), candidates, state.getWantedWeights(prompt.model));
    }

    async function waitForRead(task: ForwardingTask, instance: FleetInstance): Promise<boolean> {
        const { request: { prompt }, admission: { route } } = task;
        const reading = prompt && task.sentCount === 0 && !task.hasWaited
            ? placement.getReading(prompt, getScope(task), instance)
            : undefined;
        if (!reading) {
            return false;
        }
        task.hasWaited = true;
        await waitAtMost(clock, reading, sharedReadPart * route.targetLatencyMilliseconds);
        return true;
    }

    function takeSources(task: ForwardingTask, instance: FleetInstance): PrefixSources | undefined {
        const { prompt, requestId } = task.request;
        if (!prompt) {
            return undefined;
        }
        const sources = placement.getSources(prompt, getScope(task), instance, state.getFleet()?.instances ?? []);
        placement.noteSent(requestId, prompt, getScope(task), instance);
        return sources;
    }
}

/** Gets the workspace within which a request's cached parts may be shared; empty for all. */
function getScope({ admission: { workspace } }: ForwardingTask): string {
    return workspace?.isIsolated ? workspace.name : "";
}
