/*
 * A set of subjects of both kinds.
 */
import { RunSubjects } from "./RunSubjects";

/** Subjects, by their kinds. */
export interface SubjectSet {
    /** The ids of parts of prompts. */
    readonly partIds: ReadonlySet<string>;
    /** The ids of whole requests. */
    readonly requestIds: ReadonlySet<string>;
    /**
     * Returns whether one of a request's subjects is in the set.
     * @param subjects - The subjects of the request.
     */
    hasAny(subjects: RunSubjects): boolean;
}
