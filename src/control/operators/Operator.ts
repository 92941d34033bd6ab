/*
 * An authenticated operator and the operator's permissions.
 */
import { OperatorRole } from "./OperatorRole";

/** An operator, identified by a token. */
export interface Operator {
    /** The name, which is recorded as the author of changes. */
    name: string;
    /** The role, which determines what the operator may do. */
    role: OperatorRole;
}
