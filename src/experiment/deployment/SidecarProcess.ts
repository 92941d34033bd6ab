/*
 * A sidecar of an experiment, with the internal server on which it listens.
 */
import { BackendKind } from "../../protocol";
import { Stoppable } from "../../runtime";
import { Sidecar } from "../../sidecar";

/** A running sidecar. */
export interface SidecarProcess extends Stoppable {
    /** The instance's id, which is the backend server's name. */
    instanceId: string;
    /** The sidecar's incarnation. */
    incarnation: string;
    /** The address of the internal server, as `ip:port`. */
    address: string;
    /** The name of the model or service that the backend server serves. */
    serves: string;
    /** The kind of the sidecar's backend server. */
    backendKind: BackendKind;
    /** The sidecar itself. */
    sidecar: Sidecar;
}
