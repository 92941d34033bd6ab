/*
 * A set of subjects, which computes the digest of a request only if the set holds requests.
 */
import { getSubjectKind } from "./getSubjectKind";
import { SubjectKind } from "./SubjectKind";
import { SubjectSet } from "./SubjectSet";

/**
 * Creates a set.
 * @param subjectIds - The ids of the subjects.
 */
export function createSubjectSet(subjectIds: readonly string[]): SubjectSet {
    const partIds = new Set(subjectIds.filter(id => getSubjectKind(id) === SubjectKind.PromptPart));
    const requestIds = new Set(subjectIds.filter(id => getSubjectKind(id) === SubjectKind.Request));
    return {
        partIds,
        requestIds,
        hasAny: subjects =>
            subjects.partIds.some(id => partIds.has(id))
            || requestIds.size > 0 && requestIds.has(subjects.getRequestSubjectId()),
    };
}
