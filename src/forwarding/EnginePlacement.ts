/*
 * The choice of an engine for a prompt.
 */
import { WantedWeights } from "../feed";
import { FleetInstance } from "../protocol";
import { PrefixSources } from "./PrefixSources";
import { PromptOutline } from "./PromptOutline";

/** Chooses engines. */
export interface EnginePlacement {
    /**
     * Chooses among candidates; undefined where there are none.
     * @param prompt - The prompt's outline.
     * @param scope - The workspace within which its parts may be shared; empty for all.
     * @param candidates - The engines that may be chosen.
     * @param wanted - The versions of the model's weights that were named last.
     */
    choose(
        prompt: PromptOutline,
        scope: string,
        candidates: readonly FleetInstance[],
        wanted: readonly WantedWeights[],
    ): FleetInstance | undefined;
    /** Notes that a prompt was sent to an engine, which then holds its parts. */
    noteSent(prompt: PromptOutline, scope: string, instance: FleetInstance): void;
    /**
     * Tells where the chosen engine may fetch a prompt's shared parts from.
     * @param prompt - The prompt's outline.
     * @param scope - The workspace within which its parts may be shared; empty for all.
     * @param chosen - The engine that was chosen.
     * @param instances - The engines that may hold the parts.
     */
    getSources(
        prompt: PromptOutline,
        scope: string,
        chosen: FleetInstance,
        instances: readonly FleetInstance[],
    ): PrefixSources;
}
