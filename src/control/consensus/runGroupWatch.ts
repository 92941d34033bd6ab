/*
 * The task that watches the group at its leader, for the log lines only.
 */
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { createRepairLog } from "./createRepairLog";
import { createToleranceLog } from "./createToleranceLog";
import { getGroupTolerance } from "./getGroupTolerance";
import { Leadership } from "./Leadership";

/**
 * Logs repairs and what the group bears, until the member stops; only a leader writes lines.
 * @param state - The member's state.
 * @param leadership - Gives the replication progress of each peer.
 */
export async function runGroupWatch(state: ConsensusState, leadership: Leadership): Promise<void> {
    const toleranceLog = createToleranceLog(state);
    const repairLog = createRepairLog(state, leadership);
    while (!state.isStopped()) {
        const tolerance = getGroupTolerance(state, leadership);
        toleranceLog.observe(tolerance);
        repairLog.observe(tolerance);
        const isLeader = state.getRole() === ConsensusRole.Leader;
        await state.roleSignal.wait(isLeader ? state.timing.heartbeatIntervalMilliseconds : undefined);
    }
}
