import { ControlMember, createControlMember } from "../../../src/control";
import { createSilentLogger } from "../../../src/logging";
import { PlatformList } from "../../../src/membership";
import { createMetrics, Metrics } from "../../../src/metrics";
import { createPeerTransports, startInternalServer } from "../../../src/protocol";
import { createRandomSource, createSystemClock } from "../../../src/runtime";

/** A running control member with its internal listener. */
export interface TestControlMember {
    address: string;
    folder: string;
    member: ControlMember;
    metrics: Metrics;
    stop(): Promise<void>;
}

/**
 * Starts a control member with short consensus timing.
 * @param address - This member's address, one of `members`.
 * @param members - The addresses of all members.
 * @param folder - The data folder.
 * @param options - The initial configuration and the platform's list; none by default.
 */
export async function startTestControlMember(
    address: string,
    members: readonly string[],
    folder: string,
    options: { initialConfigurationFile?: string; platformList?: PlatformList; } = {},
): Promise<TestControlMember> {
    const transports = createPeerTransports();
    const metrics = createMetrics();
    const port = Number(address.split(":")[1]);
    const outcome = await createControlMember({
        control: {
            group: "test",
            members,
            bootstrap: true,
            initialConfigurationFile: options.initialConfigurationFile,
        },
        address,
        dataFolder: folder,
        parts: [],
        transports,
        platformList: options.platformList,
        timing: {
            heartbeatIntervalMilliseconds: 50,
            minimumElectionTimeoutMilliseconds: 300,
            maximumElectionTimeoutMilliseconds: 600,
            maintenanceIntervalMilliseconds: 50,
        },
        clock: createSystemClock(),
        random: createRandomSource(port),
        logger: createSilentLogger(),
        metrics,
    });
    if (outcome.kind === "failed") {
        throw new Error(outcome.reason);
    }
    const { member } = outcome;
    const server = await startInternalServer({ address: "127.0.0.1", port }, member.addServices);
    return { address, folder, member, metrics, stop };

    async function stop(): Promise<void> {
        await member.stop();
        await transports.stop();
        await server.stop();
    }
}
