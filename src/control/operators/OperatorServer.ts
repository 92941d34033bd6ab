/*
 * A running HTTP server for operators.
 */
import { Stoppable } from "../../runtime";

/** A running HTTP server for operators. */
export interface OperatorServer extends Stoppable {
    /** The address that the server listens on, as `http://ip:port` or `https://ip:port`. */
    readonly address: string;
}
