/*
 * Makes a member the only voter of its group, for an operator who has decided that the other voters' disks are lost for
 * good. Everything in the member's log is kept and will be committed, also entries of which it is not known whether they
 * were. If another voter is not lost after all, the group may split: nothing in the program calls this by itself.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { EntryKind, LogEntrySchema, MemberRole, MemberSchema, MemberSet, MemberSetSchema } from "../../protocol";
import { LogStorage } from "./LogStorage";
import { RecoverOutcome } from "./RecoverOutcome";

/**
 * Appends a member set of the member alone, in a term of its own.
 * @param storage - The storage of a member whose process does not run.
 * @param nowMilliseconds - The time of the entry, in milliseconds since 1970.
 */
export async function recoverAsOnlyVoter(storage: LogStorage, nowMilliseconds: number): Promise<RecoverOutcome> {
    const members = getMembers(storage);
    const own = members?.members.find(({ memberId }) => memberId === storage.memberId);
    if (!members || !own) {
        return { kind: "refused", reason: "The folder belongs to no member of a group" };
    }
    const term = storage.getHardState().term + 1n;
    const lastIndex = storage.getLastIndex() + 1n;
    const onlyMember = create(MemberSchema, { ...own, role: MemberRole.VOTER });
    const entry = create(LogEntrySchema, {
        index: lastIndex,
        term,
        kind: EntryKind.MEMBERS,
        data: toBinary(MemberSetSchema, create(MemberSetSchema, { members: [onlyMember] })),
        timeMilliseconds: BigInt(nowMilliseconds),
    });
    const termOutcome = await storage.setHardState({ term, votedFor: storage.memberId });
    const outcome = termOutcome.kind === "stored" ? await storage.addEntries([entry]) : termOutcome;
    if (outcome.kind === "failed") {
        return outcome;
    }
    const formerVoters = members.members.filter(({ role }) => role === MemberRole.VOTER).length;
    return { kind: "recovered", address: own.address, lastIndex, term, formerVoters };
}

/** Gets the newest member set, from the log or the snapshot; undefined if the folder has none. */
function getMembers(storage: LogStorage): MemberSet | undefined {
    const entries = storage.getEntries(storage.getFirstIndex(), Number.MAX_SAFE_INTEGER);
    const last = entries.findLast(({ kind, index }) =>
        kind === EntryKind.MEMBERS && index > (storage.getSnapshot()?.index ?? 0n)
    );
    return last ? fromBinary(MemberSetSchema, last.data) : storage.getSnapshot()?.members;
}
