/*
 * A subject that is or was in quarantine.
 */

/** A subject that crashed backend servers. */
export interface QuarantinedSubject {
    /** The subject's id. */
    subjectId: string;
    /** The ids of the backend servers that crashed under it. */
    instanceIds: readonly string[];
    /** When the quarantine began or was ended, in milliseconds since the epoch. */
    timeMilliseconds: number;
    /** Whether an operator has ended the quarantine. */
    isReleased: boolean;
}
