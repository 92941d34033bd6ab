/*
 * Distinguishes crashes of engines by whether a response had begun.
 */
import { Crash } from "./Crash";

/**
 * Returns whether the response to a request had just begun at a crash.
 * @param crash - The crash.
 */
export function hasBegun({ begunSubjectIds }: Crash): boolean {
    return begunSubjectIds.size > 0;
}
