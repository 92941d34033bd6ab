/*
 * Describes the content of a control member's data folder as lines of text.
 */
import { LogFolderContent } from "../control/storage";
import { EntryKind, LogEntry, MemberRole, MemberSet } from "../protocol";

/**
 * Describes the content of a control member's data folder.
 * @param content - The content of the folder.
 * @param entryCount - How many of the last entries are described.
 * @returns The lines.
 */
export function describeLogFolder(content: LogFolderContent, entryCount: number): readonly string[] {
    const { memberId, hardState, snapshot, entries, segments } = content;
    const firstIndex = entries.getFirstIndex();
    const lastIndex = entries.getNextIndex() - 1n;
    const lines = [
        `identity: ${memberId ?? "none; the folder is empty"}`,
        `term: ${hardState?.term ?? 0n}, vote: ${hardState?.votedFor || "none"}`,
    ];
    if (snapshot) {
        lines.push(`snapshot: entry ${snapshot.index} of term ${snapshot.term}, ${snapshot.data.length} bytes`);
        lines.push(...describeMembers(snapshot.members));
    }
    else {
        lines.push("snapshot: none");
    }
    for (const { segmentNumber, highestIndex, validBytes: wholeBytes, tornBytes } of segments) {
        const tornText = tornBytes > 0 ? `, torn end of ${tornBytes} bytes` : "";
        lines.push(`segment ${segmentNumber}: up to entry ${highestIndex}, ${wholeBytes} bytes${tornText}`);
    }
    const hasEntries = lastIndex >= firstIndex;
    lines.push(
        hasEntries ? `entries: ${firstIndex} to ${lastIndex}, ${entries.getEntryBytes()} bytes` : "entries: none",
    );
    const requestedFirstIndex = lastIndex + 1n - BigInt(entryCount);
    const firstShownIndex = requestedFirstIndex > firstIndex ? requestedFirstIndex : firstIndex;
    const shownEntries = entryCount > 0 ? entries.getEntries(firstShownIndex, Number.MAX_SAFE_INTEGER) : [];
    return [...lines, ...shownEntries.map(describeEntry)];
}

/** Describes the members of a snapshot. */
function describeMembers(members: MemberSet): readonly string[] {
    return members.members.map(({ memberId, address, role }) => {
        return `member: ${memberId} at ${address}, ${MemberRole[role].toLowerCase()}`;
    });
}

/** Describes an entry without its content, which may be confidential. */
function describeEntry({ index, term, kind, timeMilliseconds, data }: LogEntry): string {
    const kindName = EntryKind[kind].toLowerCase();
    const time = new Date(Number(timeMilliseconds)).toISOString();
    return `entry ${index}: term ${term}, ${kindName}, ${time}, ${data.length} bytes`;
}
