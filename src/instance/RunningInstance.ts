/*
 * One running process of the system, with the roles in its settings.
 */
import { Stoppable } from "../runtime";
import { InstanceAddresses } from "./InstanceAddresses";

/** A running process; its shutdown is graceful and lets requests in flight complete. */
export interface RunningInstance extends Stoppable {
    /** The addresses that the process listens on. */
    readonly addresses: InstanceAddresses;
    /** Determines whether every role of the process accepts work. */
    isReady(): boolean;
    /** Gets the status of the process and its roles, as values that can be written as JSON. */
    getStatus(): Readonly<Record<string, unknown>>;
}
