/*
 * Declares the attributes of a process that stay the same from its start to its end.
 */
import { BackendKind, ProcessRole } from "../protocol";

/** The attributes of a process that don't change while it runs. */
export interface ProcessIdentity {
    /** The instance's id. */
    instanceId: string;
    /** The identifier of this run of the process; later runs sort after earlier ones. */
    incarnation: string;
    /** The role of the process. */
    role: ProcessRole;
    /** The internal address at which other processes reach it, as `ip:port`. */
    address: string;
    /** The data centre of the instance. */
    dataCentre: string;
    /** The region of the data centre. */
    region: string;
    /** The kind of the backend server, if the process is a sidecar. */
    backendKind?: BackendKind;
    /** The model or service that the backend server serves, if the process is a sidecar. */
    serves?: string;
}
