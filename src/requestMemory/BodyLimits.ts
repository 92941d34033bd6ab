/*
 * What limits the reading of bodies.
 */
import { ConnectionTurns } from "./ConnectionTurns";
import { RequestMemory } from "./RequestMemory";

/** The limits that the bodies of all requests of a server share. */
export interface BodyLimits {
    /** The memory that they occupy. */
    memory: RequestMemory;
    /** The turns in which their connections are read. */
    turns: ConnectionTurns;
}
