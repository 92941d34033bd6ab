/*
 * How a run at a backend server was lost.
 */

/** What showed that a run was lost. */
export enum LossCause {
    /** Its connection ended without a whole response. */
    Connection = "connection",
    /** Its backend server was silent, or a probe found another instance at its address. */
    Silence = "silence",
}
