/*
 * The choice of an engine for a prompt.
 */
import { FleetInstance } from "../protocol";
import { PromptOutline } from "./PromptOutline";
import { WantedWeights } from "./WantedWeights";

/** Chooses engines. */
export interface EnginePlacement {
    /**
     * Chooses among candidates; undefined where there are none.
     * @param prompt - The prompt's outline.
     * @param candidates - The engines that may be chosen.
     * @param wanted - The weights wanted for the prompt's model.
     */
    choose(
        prompt: PromptOutline,
        candidates: readonly FleetInstance[],
        wanted: WantedWeights | undefined,
    ): FleetInstance | undefined;
}
