/*
 * Groups crashes by the subjects that may have caused them.
 */
import { Crash } from "./Crash";
import { getCrashCandidates } from "./getCrashCandidates";
import { getSubjectKind } from "./getSubjectKind";
import { SubjectKind } from "./SubjectKind";

/**
 * Gets the crashes at which each subject of a kind was a candidate.
 * @param crashes - The crashes.
 * @param kind - The kind.
 */
export function groupCrashesBySubject(
    crashes: readonly Crash[],
    kind: SubjectKind,
): ReadonlyMap<string, readonly Crash[]> {
    const groups = new Map<string, Crash[]>();
    for (const crash of crashes) {
        for (const subjectId of [...getCrashCandidates(crash)].filter(id => getSubjectKind(id) === kind)) {
            groups.set(subjectId, groups.get(subjectId) ?? []);
            groups.get(subjectId)!.push(crash);
        }
    }
    return groups;
}
