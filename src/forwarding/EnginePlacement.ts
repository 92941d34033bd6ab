/*
 * The choice of an engine for a prompt.
 */
import { DesiredWeights } from "../feed";
import { FleetInstance } from "../protocol";
import { PrefixSources } from "./PrefixSources";
import { PromptDescriptor } from "./PromptDescriptor";

/** Chooses engines. */
export interface EnginePlacement {
    /**
     * Chooses among candidates; undefined where there are none.
     * @param prompt - The prompt's outline.
     * @param scope - The workspace within which its parts may be shared; empty for all.
     * @param candidates - The engines that may be chosen.
     * @param desiredWeights - The versions of the model's weights that were named last.
     */
    choose(
        prompt: PromptDescriptor,
        scope: string,
        candidates: readonly FleetInstance[],
        desiredWeights: readonly DesiredWeights[],
    ): FleetInstance | undefined;
    /** Notes that a request's prompt is sent to an engine, which then reads what it lacks of it. */
    recordSent(requestId: string, prompt: PromptDescriptor, scope: string, instance: FleetInstance): void;
    /** Notes that an engine has read a request's prompt, or never will. */
    recordPrefillEnd(requestId: string): void;
    /** Gets the end of a read that is under way of what the chosen engine lacks; undefined where there is none. */
    getPrefillInFlight(prompt: PromptDescriptor, scope: string, chosen: FleetInstance): Promise<void> | undefined;
    /**
     * Tells where the chosen engine may fetch a prompt's shared parts from.
     * @param prompt - The prompt's outline.
     * @param scope - The workspace within which its parts may be shared; empty for all.
     * @param chosen - The engine that was chosen.
     * @param instances - The engines that may hold the parts.
     */
    getPrefixSources(
        prompt: PromptDescriptor,
        scope: string,
        chosen: FleetInstance,
        instances: readonly FleetInstance[],
    ): PrefixSources;
}
