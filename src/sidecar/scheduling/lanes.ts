/*
 * All lanes, in ascending order of their values.
 */
import { Lane } from "./Lane";

/** The lanes, the most urgent first. */
export const lanes: readonly Lane[] = [Lane.Short, Lane.Urgent, Lane.Deferred];
