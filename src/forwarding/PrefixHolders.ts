/*
 * Where a shared beginning of a prompt is known to be.
 */
import { FleetInstance } from "../protocol";
import { PromptPart } from "./PromptPart";

/** A beginning, and the engines to which this entry sent it. */
export interface PrefixHolders {
    /** The beginning's parts. */
    parts: readonly PromptPart[];
    /** Another engine that read it a moment ago. */
    recent: FleetInstance | undefined;
    /** Another engine that read it so long ago that it may have dropped it since. */
    former: FleetInstance | undefined;
}
