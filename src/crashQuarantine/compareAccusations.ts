/*
 * Orders accusations by their gravity.
 */
import { Accusation } from "./Accusation";

/**
 * Orders accusations by their crashes, the most first; among equals, parts that completed least come first.
 * @param left - An accusation.
 * @param right - Another one.
 */
export function compareAccusations(left: Accusation, right: Accusation): number {
    return right.times.length - left.times.length || left.completionCount - right.completionCount;
}
