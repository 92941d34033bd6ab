/*
 * Groups the subjects that one caller can add to.
 */

const requestGroupPattern = /^request-[0-9a-f]+/;

/**
 * Gets the group of a subject: that of a request's workspace, or that of all parts of prompts.
 * @param subjectId - The subject's id.
 */
export function getSubjectGroup(subjectId: string): string {
    return requestGroupPattern.exec(subjectId)?.[0] ?? "";
}
