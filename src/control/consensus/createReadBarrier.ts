/*
 * Linearizable reads. The leader confirms its leadership by its lease or by a round of heartbeats; a follower requests
 * the read index from the leader. Reads that arrive during a round share the next one.
 */
import { create } from "@bufbuild/protobuf";
import { ReadIndexRequest, ReadIndexRequestSchema, ReadIndexResponse, ReadIndexResponseSchema } from "../../protocol";
import { Applier } from "./Applier";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { Leadership } from "./Leadership";
import { ReadBarrier } from "./ReadBarrier";
import { ReadBarrierOutcome } from "./ReadBarrierOutcome";

/**
 * Creates the read barrier of a member.
 * @param state - The member's state.
 * @param leadership - Confirms the member's leadership.
 * @param applier - Waits until the read index is applied.
 */
export function createReadBarrier(state: ConsensusState, leadership: Leadership, applier: Applier): ReadBarrier {
    const { options: { group, peers }, timing } = state;
    let currentRound: Promise<bigint | undefined> | undefined;
    let nextRound: Promise<bigint | undefined> | undefined;
    return { wait, handleReadIndex };

    async function wait(): Promise<ReadBarrierOutcome> {
        const index = await (nextRound ?? joinConfirmationRound());
        if (index === undefined) {
            return { kind: "noLeader", leaderAddress: state.getLeaderAddress() };
        }
        if (await applier.waitForIndex(index, timing.proposalTimeoutMilliseconds)) {
            return { kind: "passed", index };
        }
        const appliedIndex = applier.getAppliedIndex();
        return { kind: "notApplied", leaderAddress: state.getLeaderAddress(), index, appliedIndex };
    }

    /** Starts a round, or schedules the next one after the round in progress. */
    function joinConfirmationRound(): Promise<bigint | undefined> {
        if (!currentRound) {
            currentRound = runConfirmationRound();
            return currentRound;
        }
        nextRound = currentRound.then(() => {
            nextRound = undefined;
            currentRound = runConfirmationRound();
            return currentRound;
        });
        return nextRound;
    }

    async function runConfirmationRound(): Promise<bigint | undefined> {
        const index = await getReadIndex();
        currentRound = undefined;
        return index;
    }

    async function getReadIndex(): Promise<bigint | undefined> {
        if (state.isStopped()) {
            return undefined;
        }
        if (state.getRole() === ConsensusRole.Leader) {
            return leadership.confirmLeadership();
        }
        const leaderAddress = state.getLeaderAddress();
        if (leaderAddress === undefined) {
            return undefined;
        }
        const response = await peers.requestReadIndex(leaderAddress, create(ReadIndexRequestSchema, { group }));
        return response?.passed ? response.index : undefined;
    }

    async function handleReadIndex(request: ReadIndexRequest): Promise<ReadIndexResponse | undefined> {
        if (state.isStopped()) {
            return undefined;
        }
        const canConfirm = request.group === group && state.getRole() === ConsensusRole.Leader;
        const index = canConfirm ? await leadership.confirmLeadership() : undefined;
        return create(ReadIndexResponseSchema, {
            passed: index !== undefined,
            index: index ?? 0n,
            leaderAddress: state.getLeaderAddress() ?? "",
        });
    }
}
