/*
 * A whole small deployment under a soak.
 */
import { SoakBackend } from "./SoakBackend";
import { SoakProcess } from "./SoakProcess";
import { SoakProxy } from "./startSoakProxy";

/** The processes of the system, what they speak with, and the proxies between. */
export interface SoakDeployment {
    readonly controls: readonly SoakProcess[];
    readonly entries: readonly SoakProcess[];
    readonly backends: readonly SoakBackend[];
    /** The proxies before backend servers, the list, entries' callers and operators' calls. */
    readonly proxies: readonly SoakProxy[];
    /** Where callers reach entries, as `ip:port`. */
    readonly callerAddresses: readonly string[];
    /** Where operators reach control members, as `ip:port`. */
    readonly operatorAddresses: readonly string[];
    stop(): Promise<void>;
}
