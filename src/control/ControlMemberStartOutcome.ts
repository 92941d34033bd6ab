/*
 * The outcome of starting a control member.
 */
import { ControlMember } from "./ControlMember";

/** The outcome of a start, which fails only if the log storage can't be opened. */
export type ControlMemberStartOutcome =
    | { kind: "started"; member: ControlMember; }
    /** The data folder can't be used; the operator has to remove the cause. */
    | { kind: "failed"; reason: string; };
