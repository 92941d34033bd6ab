/*
 * What can crash backend servers.
 */

/** The kinds of subjects. */
export enum SubjectKind {
    /** A part of prompts, which many requests may hold. */
    PromptPart = "promptPart",
    /** A whole request, which its caller sends again and again. */
    Request = "request",
}
