/*
 * What recent reports say of how long work takes at a backend server, in a form that can be added up.
 */

/** The evidence on a backend server's speed. */
export interface SpeedEvidence {
    /** The number of reports, each of which counts less with its age. */
    workWeight: number;
    /** The sum of the reported work factors, weighted likewise. */
    weightedWork: number;
}
