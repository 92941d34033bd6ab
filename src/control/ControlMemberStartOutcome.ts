/*
 * What became of starting a control member.
 */
import { ControlMember } from "./ControlMember";

/** The outcome of a start. */
export type ControlMemberStartOutcome =
    | { kind: "started"; member: ControlMember; }
    /** The data folder can't be used, for a reason that the operator must see to. */
    | { kind: "failed"; reason: string; };
