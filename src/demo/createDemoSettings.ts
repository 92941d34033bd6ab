/*
 * The settings of the demonstration's processes, checked like any others.
 */
import { createInvariantError } from "../errors";
import { checkInstanceSettings, InstanceSettings } from "../settings";

const loopback = "127.0.0.1";

/** What tells one process of the demonstration from another. */
interface DemoProcess {
    instanceId: string;
    dataCentre: string;
    roles: readonly string[];
    internalPort: number;
    logFile: string;
    members: readonly string[];
    /** The further settings of its roles. */
    otherSettings?: Readonly<Record<string, unknown>>;
    /** The further listeners of its roles. */
    listeners?: Readonly<Record<string, unknown>>;
    /** The further settings of its membership in the control group. */
    control?: Readonly<Record<string, unknown>>;
}

/** Creates the settings of one process. */
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
