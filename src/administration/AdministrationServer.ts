/*
 * A running server for health checks, metrics and process status.
 */
import { Stoppable } from "../runtime";

/** A running administration server. */
export interface AdministrationServer extends Stoppable {
    /** The address that the server listens on, as `ip:port`. */
    readonly address: string;
}
