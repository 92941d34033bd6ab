/*
 * The settings of one process, read from a JSON file.
 */
import { LoggingSettings } from "../logging";
import { ControlSettings } from "./ControlSettings";
import { EntrySettings } from "./EntrySettings";
import { ListenerSettings } from "./ListenerSettings";
import { Role } from "./Role";
import { RoutingSettings } from "./RoutingSettings";
import { SidecarSettings } from "./SidecarSettings";
import { TlsSettings } from "./TlsSettings";

/** The settings of one process. */
export interface InstanceSettings {
    /** The instance's id, unique over all regions. */
    instanceId: string;
    /** The data centre that the instance runs in. */
    dataCentre: string;
    /** The region that the data centre belongs to. */
    region: string;
    /** The roles of the process. */
    roles: readonly Role[];
    /** The folder for durable state; required by the control role. */
    dataFolder?: string;
    /** The addresses that the process listens on. */
    listeners: {
        /** For callers; required by the entry role. */
        callers?: ListenerSettings;
        /** For the other processes of the system. */
        internal: ListenerSettings;
        /** For operators; required by the control role. */
        operators?: ListenerSettings;
        /** For health checks and metrics. */
        administration?: ListenerSettings;
    };
    /** The TLS identity that the process presents to other processes. */
    tls?: TlsSettings;
    /** The control members, and the options of a member. */
    control: ControlSettings;
    /** The limits of the entry role. */
    entry: EntrySettings;
    /** The sidecar and its backend server; the settings call the sidecar `companion`, as its role. */
    companion?: SidecarSettings;
    /** How prompts are divided into blocks. */
    routing: RoutingSettings;
    /** The log level and destination. */
    logging: LoggingSettings;
}
