/*
 * A refusal for which it is not yet decided whether the request ran.
 */
import { Refusal } from "./Refusal";

/** The reason, message and retry time of a refusal, without the run state. */
export type RefusalDetails = Omit<Refusal, "runState">;
