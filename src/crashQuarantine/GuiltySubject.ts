/*
 * A subject that crashes backend servers.
 */

/** A subject with the crashes that it explains. */
export interface GuiltySubject {
    /** The subject's id. */
    subjectId: string;
    /** The ids of the backend servers that crashed under it. */
    instanceIds: readonly string[];
}
