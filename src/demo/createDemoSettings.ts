/*
 * Creates the settings of the demonstration's processes, with the same validation as settings from a file.
 */
import { createInvariantError } from "../errors";
import { checkInstanceSettings, InstanceSettings } from "../settings";

const loopback = "127.0.0.1";

/** The settings in which the demonstration's processes differ. */
interface DemoProcess {
    instanceId: string;
    dataCentre: string;
    roles: readonly string[];
    internalPort: number;
    logFile: string;
    members: readonly string[];
    /** Additional settings, for instance of the process's roles. */
    otherSettings?: Readonly<Record<string, unknown>>;
    /** Additional listeners of the process's roles. */
    listeners?: Readonly<Record<string, unknown>>;
    /** Additional settings of the control group. */
    control?: Readonly<Record<string, unknown>>;
}

/**
 * Creates the settings of one process.
 * @param process - The settings in which the processes differ.
 * @throws An invariant error if the settings are not valid.
 */
export function createDemoSettings(process: DemoProcess): InstanceSettings {
    const outcome = checkInstanceSettings({
        instanceId: process.instanceId,
        dataCentre: process.dataCentre,
        region: "bretagne",
        roles: process.roles,
        listeners: { internal: { address: loopback, port: process.internalPort }, ...process.listeners },
        control: { group: "bretagne", members: process.members, ...process.control },
        routing: { bytesPerToken: 1 },
        logging: { level: "info", file: process.logFile },
        ...process.otherSettings,
    }, {});
    if (outcome.kind !== "loaded") {
        throw createInvariantError("The demonstration's settings are not valid", { outcome });
    }
    return outcome.settings;
}
