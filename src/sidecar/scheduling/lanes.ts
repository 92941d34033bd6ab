/*
 * All lanes, in the order of their numbers.
 */
import { Lane } from "./Lane";

/** The lanes, the most urgent first. */
export const lanes: readonly Lane[] = [Lane.Short, Lane.Urgent, Lane.Deferred];
