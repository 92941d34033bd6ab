/*
 * The outcome of reading the connection options.
 */
import { OperatorConnection } from "./OperatorConnection";

/** The connection, or the first problem of the options. */
export type OperatorConnectionOutcome =
    | { kind: "read"; connection: OperatorConnection; }
    | { kind: "invalid"; problem: string; };
