/*
 * A sidecar of an experiment, with its listener.
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
    /** The internal address, as `ip:port`. */
    address: string;
    /** The model's or service's name. */
    serves: string;
    /** What stands behind it. */
    backendKind: BackendKind;
    /** The sidecar itself. */
    sidecar: Sidecar;
}
