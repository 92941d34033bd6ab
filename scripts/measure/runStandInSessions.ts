/*
 * Runs many stand-in entry processes and sidecars in one process, for measurements. The parent process controls them by
 * messages.
 */
import { createConfigurationView } from "../../src/control/configuration";
import { createSilentLogger } from "../../src/logging";
import { createIncarnation, createMembership, Membership } from "../../src/membership";
import { createMetrics } from "../../src/metrics";
import { createPeerTransports, ProcessRole, ProcessState } from "../../src/protocol";
import { createRandomSource, createSystemClock } from "../../src/runtime";

const model = "large";
const entryShare = 510 / 2_410;

/** Returns whether a stand-in is an entry process, in the proportion of the design size: 510 of 2,410 processes. */
function isEntry(index: number): boolean {
    return Math.floor((index + 1) * entryShare) > Math.floor(index * entryShare);
}

/**
 * Runs stand-ins until the parent terminates the process.
 * @param members - The addresses of the control members.
 */
export async function runStandInSessions(members: readonly string[]): Promise<void> {
    const clock = createSystemClock();
    const standIns: Membership[] = [];
    let versionCount = 0;
    process.on("message", (message: { kind: string; count: number; }) => void handleMessage(message));
    process.send!({ kind: "started" });

    async function handleMessage({ kind, count }: { kind: string; count: number; }): Promise<void> {
        switch (kind) {
            case "grow":
                while (standIns.length < count) {
                    standIns.push(start(standIns.length));
                }
                await waitUntil(() => standIns.every(standIn => standIn.authority.isLeaseFresh()));
                break;
            case "changeVersion":
                versionCount++;
                getSidecar().session.updateOwnRecord({ version: String(versionCount) });
                break;
            case "leave":
                await leave();
                return;
            default:
                break;
        }
        process.send!({ kind: "done", bytes: countBytes(), processor: process.cpuUsage() });
    }

    /** Sets a sidecar to leaving, and reports the time until no stand-in selects it for new requests any more. */
    async function leave(): Promise<void> {
        const sidecar = getSidecar();
        const { instanceId } = sidecar.session.getOwnRecord();
        const start = performance.now();
        sidecar.session.setState(ProcessState.LEAVING);
        await waitUntil(() => standIns.every(standIn => !isCandidate(standIn, instanceId)));
        process.send!({ kind: "done", milliseconds: performance.now() - start });
    }

    function isCandidate(standIn: Membership, instanceId: string): boolean {
        return standIn.directory.getCandidates(model).some(record => record.instanceId === instanceId);
    }

    function getSidecar(): Membership {
        return standIns.find(standIn => {
            const { role, state } = standIn.session.getOwnRecord();
            return role === ProcessRole.COMPANION && state === ProcessState.READY;
        })!;
    }

    function start(index: number): Membership {
        const random = createRandomSource(index + 1);
        const membership = createMembership({
            identity: {
                instanceId: `instance-${index}`,
                incarnation: createIncarnation(clock, random),
                role: isEntry(index) ? ProcessRole.ENTRY : ProcessRole.COMPANION,
                address: `127.0.0.1:${20_000 + index}`,
                dataCentre: `data-centre-${index % 4}`,
                region: "measure",
                serves: model,
            },
            members,
            transports: createPeerTransports(),
            configuration: createConfigurationView(),
            clock,
            random,
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        membership.session.setState(ProcessState.READY);
        return membership;
    }

    async function waitUntil(condition: () => boolean): Promise<void> {
        while (!condition()) {
            await clock.sleep(10);
        }
    }
}

/** Counts the bytes sent and received on all sockets of this process, including HTTP/2 headers and acknowledgements. */
function countBytes(): { received: number; sent: number; } {
    const handles = (process as unknown as { _getActiveHandles(): unknown[]; })._getActiveHandles();
    const sockets = handles as { bytesRead?: number; bytesWritten?: number; remotePort?: number; }[];
    return sockets
        .filter(socket => socket.remotePort !== undefined)
        .reduce<{ received: number; sent: number; }>(
            (sum, socket) => ({
                received: sum.received + (socket.bytesRead ?? 0),
                sent: sum.sent + (socket.bytesWritten ?? 0),
            }),
            { received: 0, sent: 0 },
        );
}
