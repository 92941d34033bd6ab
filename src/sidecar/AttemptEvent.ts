/*
 * An event of an attempt, before it gets its sequence number.
 */
import { DispatchEvent } from "../protocol";

/** An event of an attempt; the last one is `end` or `refused`. */
export type AttemptEvent = Exclude<DispatchEvent["event"], { case: undefined; }>;
