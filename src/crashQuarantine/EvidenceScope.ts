/*
 * How much of the evidence on crashes is known.
 */

/** Whose observations the evidence holds. */
export enum EvidenceScope {
    /** Those of all entry processes. */
    AllEntries,
    /**
     * Those of some: a crash may be due to a request of another entry process, above all where none of the known ones had
     * begun.
     */
    SomeEntries,
}
