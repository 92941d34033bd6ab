/*
 * Declares the membership of an entry process or a sidecar: its directory, authority, session and state handler.
 */
import { Stoppable } from "../runtime";
import { Authority } from "./Authority";
import { ControlSession } from "./ControlSession";
import { StateHandler } from "./StateHandler";
import { WritableDirectory } from "./WritableDirectory";

/** A process's directory, authority, session and state handler, which share one lease and one sidecar set. */
export interface Membership extends Stoppable {
    /** The entry processes and sidecars of the system. */
    directory: WritableDirectory;
    /** Decides whether this process may act on its copy of the configuration. */
    authority: Authority;
    /** The session with the control members. */
    session: ControlSession;
    /** Answers other processes' requests for state; a sidecar exposes it through its RPC service. */
    stateHandler: StateHandler;
}
