/*
 * What a register of attempts is made of.
 */
import { Clock } from "../../runtime";
import { AttemptLimits } from "./AttemptLimits";

/** The options of a register of attempts. */
export interface AttemptRegistryOptions {
    /** The incarnation of this process. */
    incarnation: string;
    /** The passing of time. */
    clock: Clock;
    /** How much is remembered; the defaults where absent. */
    limits?: AttemptLimits;
}
