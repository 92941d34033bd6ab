/*
 * Starts a control member for measurements, with a temporary data folder.
 */
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ControlMember, createControlMember, StateMachinePart } from "../../src/control";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createPeerTransports, startInternalServer } from "../../src/protocol";
import { createRandomSource, createSystemClock } from "../../src/runtime";

/**
 * Starts a control member; errors if the member can't be created.
 * @param address - The member's address.
 * @param members - The addresses of all members.
 * @param parts - The parts of the replicated state in addition to the configuration.
 */
export async function startMeasuredMember(
    address: string,
    members: readonly string[],
    parts: readonly StateMachinePart[] = [],
): Promise<{ member: ControlMember; stop: () => Promise<void>; }> {
    const folder = await mkdtemp(join(tmpdir(), "basilwing-measure-"));
    const transports = createPeerTransports();
    const port = Number(address.split(":")[1]);
    const outcome = await createControlMember({
        control: { group: "measure", members, bootstrap: true },
        address,
        dataFolder: folder,
        parts,
        transports,
        clock: createSystemClock(),
        random: createRandomSource(port),
        logger: createSilentLogger(),
        metrics: createMetrics(),
    });
    if (outcome.kind === "failed") {
        throw new Error(outcome.reason);
    }
    const { member } = outcome;
    const server = await startInternalServer({ address: "127.0.0.1", port }, member.addServices);
    return { member, stop };

    async function stop(): Promise<void> {
        await member.stop();
        await transports.stop();
        await server.stop();
        await rm(folder, { recursive: true });
    }
}
