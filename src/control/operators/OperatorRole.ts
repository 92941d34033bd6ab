/*
 * The roles of operators, which determine what they may do.
 */

/** The role of an operator; `Change` includes `Read`. */
export enum OperatorRole {
    Read = "read",
    Change = "change",
}
