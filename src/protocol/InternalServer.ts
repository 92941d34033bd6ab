/*
 * A running server on which a process serves calls from the other processes of the system.
 */
import { Stoppable } from "../runtime";

/** A running server for calls from other processes. */
export interface InternalServer extends Stoppable {
    /** The address that the server listens on, as `ip:port`. */
    readonly address: string;
}
