/*
 * What became of the options that say how to call control members.
 */
import { OperatorConnection } from "./OperatorConnection";

/** The outcome of reading the options. */
export type OperatorConnectionOutcome =
    | { kind: "read"; connection: OperatorConnection; }
    | { kind: "invalid"; problem: string; };
