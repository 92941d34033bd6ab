/*
 * Records the member set that each entry of the log defines, so that truncating uncommitted entries restores the
 * earlier member set.
 */
import { create } from "@bufbuild/protobuf";
import { Member, MemberRole, MemberSet, MemberSetSchema } from "../../protocol";
import { MemberHistory } from "./MemberHistory";

interface MemberSetRecord {
    /** The index of the entry that defines the member set. */
    index: bigint;
    /** The member set from that entry on. */
    members: MemberSet;
}

/** Creates a history that starts with an empty member set. */
export function createMemberHistory(): MemberHistory {
    let records: MemberSetRecord[] = [{ index: 0n, members: create(MemberSetSchema) }];
    return {
        getCurrent,
        getCurrentIndex: () => records.at(-1)!.index,
        getAt,
        getVoters,
        getMember,
        addMembers,
        truncateFrom,
        discardBefore,
        reset,
    };

    function getCurrent(): MemberSet {
        return records.at(-1)!.members;
    }

    function getAt(index: bigint): MemberSet {
        return (records.findLast(record => record.index <= index) ?? records[0]!).members;
    }

    function getVoters(): readonly Member[] {
        return getCurrent().members.filter(member => member.role === MemberRole.VOTER);
    }

    function getMember(memberId: string): Member | undefined {
        return getCurrent().members.find(member => member.memberId === memberId);
    }

    function addMembers(index: bigint, members: MemberSet): void {
        records.push({ index, members });
    }

    function truncateFrom(index: bigint): void {
        records = records.filter((record, position) => position === 0 || record.index < index);
    }

    function discardBefore(index: bigint): void {
        const retainedPosition = records.findLastIndex(record => record.index <= index);
        records = records.slice(Math.max(0, retainedPosition));
    }

    function reset(index: bigint, members: MemberSet): void {
        records = [{ index, members }];
    }
}
