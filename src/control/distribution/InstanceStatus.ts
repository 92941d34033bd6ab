/*
 * What the leader knows of one process, for operators.
 */
import { ProcessRole, ProcessState } from "../../protocol";

/** The state of one entry or sidecar. */
export interface InstanceStatus {
    /** The instance's id. */
    instanceId: string;
    /** The name of the process's run. */
    incarnation: string;
    /** What the process does. */
    role: keyof typeof ProcessRole;
    /** What the process says of itself, or what is known of its end. */
    state: keyof typeof ProcessState;
    /** The data centre. */
    dataCentre: string;
    /** The internal address. */
    address: string;
    /** The model or service behind a sidecar. */
    serves: string;
    /** The weights version. */
    version: string;
    /** The configuration revision that the process has acknowledged. */
    revision: number;
    /** Whether the process has a session or a lease that may still run. */
    isHeard: boolean;
}
