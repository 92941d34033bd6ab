/*
 * A group of control members in one process, for measurements.
 */
import { rm } from "node:fs/promises";
import { ConsensusRole, ReplicatedLogOptions } from "../../../src/control/consensus";
import { MeasuredMember, startMeasuredMember } from "./startMeasuredMember";

/** A running group. */
export interface MeasuredGroup {
    /** All members, including the leader. */
    members: readonly MeasuredMember[];
    /** The member that was the leader after the start. */
    leader: MeasuredMember;
    /** Stops all members and removes their data folders. */
    stop(): Promise<void>;
}

const pollMilliseconds = 10;

/**
 * Starts a group and waits for its leader.
 * @param memberCount - The number of members.
 * @param options - Options that override those of each member's log.
 */
export async function startMeasuredGroup(
    memberCount: number,
    options: Partial<ReplicatedLogOptions> = {},
): Promise<MeasuredGroup> {
    const members = await Promise.all(Array.from({ length: memberCount }, () => startMeasuredMember()));
    const addresses = members.map(member => member.address);
    members.forEach(member => member.start({ join: { addresses, startsGroup: true }, ...options }));
    let leader: MeasuredMember | undefined;
    while (!leader) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
        leader = members.find(isLeaderWithoutPendingEntries);
    }
    return { members, leader, stop };

    /** Stops the same component of all members at a time, so that no member uses a connection that another has closed. */
    async function stop(): Promise<void> {
        const parts = members.map(member => member.getParts());
        for (let position = 0; position < parts[0]!.length; position += 1) {
            await Promise.all(parts.map(list => list[position]!.stop()));
        }
        await Promise.all(members.map(member => rm(member.folder, { recursive: true })));
    }
}

/** Returns whether a member is the leader and has committed its whole log. */
function isLeaderWithoutPendingEntries(member: MeasuredMember): boolean {
    const { role, commitIndex, lastIndex } = member.log.getStatus();
    return role === ConsensusRole.Leader && lastIndex > 0n && commitIndex === lastIndex;
}
