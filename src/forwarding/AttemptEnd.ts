/*
 * How an attempt ended.
 */

/** Whether all of the response was received, it was lost or broken off, or the end says nothing about the engine. */
export type AttemptEnd = "complete" | "lost" | "other";
