/*
 * What a process is, from its start to its end.
 */
import { BackendKind, ProcessRole } from "../protocol";

/** What does not change while a process runs. */
export interface ProcessIdentity {
    /** The instance's id. */
    instanceId: string;
    /** The name of this run of the process. */
    incarnation: string;
    /** What the process does. */
    role: ProcessRole;
    /** The internal address at which other processes reach it, as `ip:port`. */
    address: string;
    /** The data centre that the instance stands in. */
    dataCentre: string;
    /** The region that the data centre belongs to. */
    region: string;
    /** What stands behind a sidecar. */
    backendKind?: BackendKind;
    /** The model or service behind a sidecar. */
    serves?: string;
}
