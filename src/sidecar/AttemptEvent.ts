/*
 * One event of an attempt before it is numbered.
 */
import { DispatchEvent } from "../protocol";

/** An event of an attempt; the last is `end` or `refused`. */
export type AttemptEvent = Exclude<DispatchEvent["event"], { case: undefined; }>;
