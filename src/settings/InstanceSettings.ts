/*
 * The settings of one process, read from one JSON file.
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
    /** The data centre that the instance stands in. */
    dataCentre: string;
    /** The region that the data centre belongs to. */
    region: string;
    /** What the process does. */
    roles: readonly Role[];
    /** The folder for durable state; needed by the control role. */
    dataFolder?: string;
    /** Where the process listens. */
    listeners: {
        /** For callers; needed by the entry role. */
        callers?: ListenerSettings;
        /** For other processes of the system. */
        internal: ListenerSettings;
        /** For operators; needed by the control role. */
        operators?: ListenerSettings;
        /** For health checks and metrics. */
        administration?: ListenerSettings;
    };
    /** The identity that the process shows to other processes. */
    tls?: TlsSettings;
    /** The control members. */
    control: ControlSettings;
    /** The entry role. */
    entry: EntrySettings;
    /** The sidecar, which the settings call by its role, `companion`. */
    companion?: SidecarSettings;
    /** How prompts are cut and placed. */
    routing: RoutingSettings;
    /** What is logged. */
    logging: LoggingSettings;
}
