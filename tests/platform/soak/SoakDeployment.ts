/*
 * A small complete deployment under test in a soak.
 */
import { SoakBackend } from "./SoakBackend";
import { SoakProcess } from "./SoakProcess";
import { SoakProxy } from "./startSoakProxy";

/** The system's processes, the stand-ins that they use, and the proxies between them. */
export interface SoakDeployment {
    /** The control members. */
    readonly controls: readonly SoakProcess[];
    /** The entry processes. */
    readonly entries: readonly SoakProcess[];
    /** The engines and plain services. */
    readonly backends: readonly SoakBackend[];
    /** The proxies in front of backend servers, the platform's list, and the listeners for callers and operators. */
    readonly proxies: readonly SoakProxy[];
    /** The proxies in front of the listeners for callers, in the order of the entry processes. */
    readonly callerProxies: readonly SoakProxy[];
    /** The proxies between control members, and from entry processes to control members; none where no such links fail. */
    readonly memberLinks: readonly SoakProxy[];
    /** Where callers reach the entry processes, as `ip:port`. */
    readonly callerAddresses: readonly string[];
    /** Where operators reach control members, as `ip:port`. */
    readonly operatorAddresses: readonly string[];
    /** Kills all processes and stops proxies and stand-ins. */
    stop(): Promise<void>;
}
