/*
 * The common interface of all stand-ins.
 */
import { Stoppable } from "../runtime";

/** A running stand-in for an external system. */
export interface StandIn extends Stoppable {
    /** The address that it listens on, as `http://ip:port`. */
    readonly address: string;
}
