/*
 * Tells which subjects may have caused a crash.
 */
import { Crash } from "./Crash";

/**
 * Gets the subjects that may have caused a crash: those of the requests whose responses had just begun, and where there
 * are none, those of the waiting requests.
 * @param crash - The crash.
 */
export function getCrashCandidates({ begunSubjectIds, waitingSubjectIds }: Crash): ReadonlySet<string> {
    return begunSubjectIds.size > 0 ? begunSubjectIds : waitingSubjectIds;
}
