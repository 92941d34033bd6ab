/*
 * The limits of the configuration tree, as an entry process applies them.
 */
import { EffectiveSettings } from "../control/configuration";
import { LimitDecision } from "./LimitDecision";

/** Decides whether a subscriber's request is within the limits of every level above it. */
export interface RequestLimiter {
    /**
     * Decides on a request immediately, without a remote call.
     * @param limitsByLevel - The limits of each level from the workspace down.
     * @param tokens - The estimated number of tokens that the request will use.
     */
    admit(limitsByLevel: EffectiveSettings["limitsByLevel"], tokens: number): LimitDecision;
}
