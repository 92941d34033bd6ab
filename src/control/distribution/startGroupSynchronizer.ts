/*
 * The synchronization of state with all other control members. One task for each member is started and stopped as the group
 * changes.
 */
import { Stoppable } from "../../runtime";
import { ReplicatedLog } from "../consensus";
import { GroupSynchronizer } from "./GroupSynchronizer";
import { PeerSynchronizer } from "./PeerSynchronizer";
import { PeerSynchronizerOptions } from "./PeerSynchronizerOptions";
import { startPeerSynchronizer } from "./startPeerSynchronizer";

/**
 * Starts the synchronization with all other members.
 * @param log - The replicated log, which lists the members.
 * @param options - The options that the synchronizers of all members have in common.
 */
export function startGroupSynchronizer(
    log: Pick<ReplicatedLog, "getStatus" | "addStatusListener">,
    options: Omit<PeerSynchronizerOptions, "address" | "isLeader">,
): GroupSynchronizer {
    const synchronizers = new Map<string, PeerSynchronizer>();
    const stopTasks = new Set<Promise<void>>();
    const removeListener = log.addStatusListener(handleStatus);
    updateSynchronizers();
    return { queueRecord, wake, stop };

    function handleStatus(): void {
        updateSynchronizers();
        wake();
    }

    function updateSynchronizers(): void {
        const { members } = log.getStatus();
        const addresses = new Set(
            members.filter(({ memberId }) => memberId !== options.identity.memberId).map(({ address }) => address),
        );
        for (const [address, synchronizer] of synchronizers) {
            if (!addresses.has(address)) {
                synchronizers.delete(address);
                stopSynchronizer(synchronizer);
            }
        }
        for (const address of addresses) {
            if (!synchronizers.has(address)) {
                const isLeader = () => log.getStatus().leaderAddress === address;
                synchronizers.set(address, startPeerSynchronizer({ ...options, address, isLeader }));
            }
        }
    }

    /** Stops a synchronizer; `stop` waits until it has ended. */
    function stopSynchronizer(synchronizer: Stoppable): void {
        const stopTask = synchronizer.stop().finally(() => stopTasks.delete(stopTask));
        stopTasks.add(stopTask);
    }

    function queueRecord(instanceId: string): void {
        synchronizers.forEach(synchronizer => synchronizer.queueRecord(instanceId));
    }

    function wake(): void {
        synchronizers.forEach(synchronizer => synchronizer.wake());
    }

    async function stop(): Promise<void> {
        removeListener();
        synchronizers.forEach(stopSynchronizer);
        synchronizers.clear();
        await Promise.all(stopTasks);
    }
}
