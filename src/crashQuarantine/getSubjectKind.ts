/*
 * Tells the kinds of subjects apart by their ids.
 */
import { requestSubjectPrefix } from "./requestSubjectPrefix";
import { SubjectKind } from "./SubjectKind";

/**
 * Gets the kind of a subject.
 * @param subjectId - The subject's id.
 */
export function getSubjectKind(subjectId: string): SubjectKind {
    return subjectId.startsWith(requestSubjectPrefix) ? SubjectKind.Request : SubjectKind.PromptPart;
}
