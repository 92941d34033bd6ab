/*
 * All that an entry or a sidecar has of the system's other processes.
 */
import { Stoppable } from "../runtime";
import { Authority } from "./Authority";
import { ControlSession } from "./ControlSession";
import { StateHandler } from "./StateHandler";
import { WritableDirectory } from "./WritableDirectory";

/** A process's directory, authority and session, wired together. */
export interface Membership extends Stoppable {
    /** Which processes there are. */
    directory: WritableDirectory;
    /** Whether this process may act on the configuration that it holds. */
    authority: Authority;
    /** The stream to the control members. */
    session: ControlSession;
    /** Answers other processes; a sidecar mounts it in its service. */
    stateHandler: StateHandler;
}
