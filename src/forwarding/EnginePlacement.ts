/*
 * The choice of an engine for a prompt.
 */
import { DesiredWeights } from "../feed";
import { FleetInstance } from "../protocol";
import { PrefixSources } from "./PrefixSources";
import { PromptDescriptor } from "./PromptDescriptor";

/** Chooses engines by cached prefixes and load. */
export interface EnginePlacement {
    /**
     * Chooses the engine with the lowest expected cost.
     * @param prompt - The prompt.
     * @param scope - The scope within which its parts are shared.
     * @param candidates - The engines that may be chosen.
     * @param desiredWeights - The versions of the model's weights that were named last.
     * @param memoryTokens - The tokens that an engine has memory for.
     * @returns The engine, or undefined where there are no candidates.
     */
    choose(
        prompt: PromptDescriptor,
        scope: string,
        candidates: readonly FleetInstance[],
        desiredWeights: readonly DesiredWeights[],
        memoryTokens: number,
    ): FleetInstance | undefined;
    /**
     * Gets the tokens of a prompt that an engine prefills, if it has the shared prefix cached where that is likely.
     * @param prompt - The prompt.
     * @param scope - The scope within which its parts are shared.
     * @param chosen - The engine.
     * @param instances - The engines of its service.
     */
    getExpectedPrefillTokens(
        prompt: PromptDescriptor,
        scope: string,
        chosen: FleetInstance,
        instances: readonly FleetInstance[],
    ): number;
    /** Records that a prompt is sent to an engine, which then prefills the parts that it has not cached. */
    recordSent(requestId: string, prompt: PromptDescriptor, scope: string, instance: FleetInstance): void;
    /** Records that the prefill of a request's prompt has ended, or will not take place. */
    recordPrefillEnd(requestId: string): void;
    /**
     * Gets a prefill in flight of a shared prefix that the chosen engine lacks.
     * @param prompt - The prompt.
     * @param scope - The scope within which its parts are shared.
     * @param chosen - The engine that was chosen.
     * @returns A promise that resolves at the end of the prefill; undefined where there is none.
     */
    getPrefillInFlight(prompt: PromptDescriptor, scope: string, chosen: FleetInstance): Promise<void> | undefined;
    /**
     * Gets the engines from which the chosen one may fetch a prompt's shared prefixes.
     * @param prompt - The prompt.
     * @param scope - The scope within which its parts are shared.
     * @param chosen - The engine that was chosen.
     * @param instances - The engines that may hold the prefixes.
     */
    getPrefixSources(
        prompt: PromptDescriptor,
        scope: string,
        chosen: FleetInstance,
        instances: readonly FleetInstance[],
    ): PrefixSources;
}
