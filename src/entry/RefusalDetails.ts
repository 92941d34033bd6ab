/*
 * A refusal before it is decided whether the request ran.
 */
import { Refusal } from "./Refusal";

/** What a caller is told, less whether anything ran. */
export type RefusalDetails = Omit<Refusal, "runState">;
