/*
 * The status of one process, which operators get as JSON.
 */
import { ProcessRole, ProcessState } from "../../protocol";

/** The status of one entry process or sidecar. */
export interface InstanceStatus {
    /** The instance's id. */
    instanceId: string;
    /** The process's incarnation. */
    incarnation: string;
    /** The process's role. */
    role: keyof typeof ProcessRole;
    /** The state that the process reports, or the state `LOST` or `GONE` that the leader has recorded. */
    state: keyof typeof ProcessState;
    /** The process's data centre. */
    dataCentre: string;
    /** The process's internal address, as `ip:port`. */
    address: string;
    /** The model or service that the sidecar's backend server serves. */
    serves: string;
    /** The weights version that the process reports. */
    version: string;
    /** The configuration revision that the process has acknowledged. */
    revision: number;
    /** Whether the process has a session, or a lease that may still run. */
    isHeard: boolean;
}
