/*
 * The options of an attempt registry.
 */
import { Clock } from "../../runtime";
import { AttemptLimits } from "./AttemptLimits";

/** The incarnation, clock and limits of an attempt registry. */
export interface AttemptRegistryOptions {
    /** The incarnation of this process. */
    incarnation: string;
    /** The clock that retention times are measured with. */
    clock: Clock;
    /** The limits; the defaults if absent. */
    limits?: AttemptLimits;
}
