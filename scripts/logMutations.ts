/*
 * The rules of the replicated log that the mutation check breaks, one at a time.
 */
import { Mutation } from "./Mutation";

/** The mutations. */
export const logMutations: readonly Mutation[] = [
    {
        rule: "A record is synced before it is acknowledged",
        file: "storage/createSegmentWriter.ts",
        originalText: "await segment.file.sync();\n        metrics",
        replacement: "metrics",
    },
    {
        rule: "A new segment's name is synced before its records are acknowledged",
        file: "storage/createSegmentWriter.ts",
        originalText: "if (isNew) {\n            await fileSystem.syncFolder(folder);\n        }",
        replacement: "",
    },
    {
        rule: "A replaced file is synced before it gets its name",
        file: "storage/writeFileAtomically.ts",
        originalText: "await file.sync();",
        replacement: "",
    },
    {
        rule: "A replaced file's name is synced before it counts",
        file: "storage/writeFileAtomically.ts",
        originalText: "await fileSystem.syncFolder(dirname(path));",
        replacement: "",
    },
    {
        rule: "A damaged record with whole ones behind it stops the member",
        file: "storage/decodeSegment.ts",
        originalText: "laterOffset === undefined",
        replacement: "laterOffset !== -1",
    },
    {
        rule: "A record's checksum is checked",
        file: "storage/decodeSegment.ts",
        originalText: "buffer.readUInt32LE(offset + 8) === getFrameChecksum(salt, offset, payload)",
        replacement: "salt !== -1",
    },
    {
        rule: "Nothing is written after the disk failed",
        file: "storage/createLogStorage.ts",
        originalText:
            "failure = describeStorageError(thrown);\n            return { kind: \"failed\", reason: failure };",
        replacement: "return { kind: \"failed\", reason: describeStorageError(thrown) };",
    },
    {
        rule: "The newest lock wins alone",
        file: "storage/lockFolder.ts",
        originalText: "!isCreated || highestNumber !== ownNumber",
        replacement: "highestNumber === -1",
    },
    {
        rule: "A vote is on disk before it is given",
        file: "consensus/createElection.ts",
        originalText: "const isStored = await state.persist();",
        replacement: "const isStored = true;",
    },
    {
        rule: "A candidate asks before it raises the term",
        file: "consensus/createElection.ts",
        originalText: "!await isElected(state.getTerm() + 1n, true)",
        replacement: "state.isStopped()",
    },
    {
        rule: "A member votes once a term",
        file: "consensus/createElection.ts",
        originalText: "const isFree = state.getVote() === \"\" || state.getVote() === request.candidateId;",
        replacement: "const isFree = true;",
    },
    {
        rule: "A vote goes only to a candidate with the whole log",
        file: "consensus/createElection.ts",
        originalText: "|| !isFree || !isLogComplete(request)",
        replacement: "|| !isFree",
    },
    {
        rule: "A member that heard from a leader votes for no other",
        file: "consensus/createElection.ts",
        originalText: "|| state.hasRecentContact()) {\n            return getResponse(false);",
        replacement: ") {\n            return getResponse(false);",
    },
    {
        rule: "A member keeps its promise over a restart",
        file: "consensus/createConsensusState.ts",
        originalText: "term === 0n ? -Infinity : clock.getMonotonicMilliseconds()",
        replacement: "-Infinity",
    },
    {
        rule: "A vote counts only under the identity that the group knows",
        file: "consensus/collectVotes.ts",
        originalText: "response.granted && response.memberId === voter.memberId",
        replacement: "response.granted",
    },
    {
        rule: "Entries are acknowledged only under the identity they were sent to",
        file: "consensus/createFollower.ts",
        originalText: "request.group === group && request.recipientId === storage.memberId",
        replacement: "request.group === group",
    },
    {
        rule: "A member that voted meanwhile does not acknowledge the old leader's entries",
        file: "consensus/createFollower.ts",
        originalText: "if (state.getTerm() !== request.term || state.isStopped()) {",
        replacement: "if (state.isStopped()) {",
    },
    {
        rule: "Entries are taken only where the log leads to them",
        file: "consensus/createFollower.ts",
        originalText: "if (mismatch !== undefined) {",
        replacement: "if (mismatch !== undefined && mismatch < 0n) {",
    },
    {
        rule: "A follower commits only what it knows to be its leader's",
        file: "consensus/createFollower.ts",
        originalText: "request.commitIndex < matchIndex ? request.commitIndex : matchIndex",
        replacement: "request.commitIndex",
    },
    {
        rule: "A leader commits entries of earlier terms only by one of its own",
        file: "consensus/createLeadership.ts",
        originalText: "if (index >= startIndex) {",
        replacement: "if (index >= 0n) {",
    },
    {
        rule: "A leader counts its own entries only once they are on its disk",
        file: "consensus/createLeadership.ts",
        originalText: "? getProposals().getDurableIndex(ledTerm)",
        replacement: "? storage.getLastIndex()",
    },
    {
        rule: "Learners do not count",
        file: "consensus/createMemberHistory.ts",
        originalText: "member => member.role === MemberRole.VOTER",
        replacement: "member => member.role !== MemberRole.UNSPECIFIED",
    },
    {
        rule: "A learner counts only once it holds all that is committed",
        file: "consensus/createMembership.ts",
        originalText: "!hasCaughtUp(change.memberId)",
        replacement: "hasCaughtUp(change.memberId) === undefined",
    },
    {
        rule: "One change of members is made at a time",
        file: "consensus/createMembership.ts",
        originalText: "if (!isSettled) {",
        replacement: "if (isSettled === undefined) {",
    },
    {
        rule: "A leader without its majority steps down within the lease",
        file: "consensus/createLeadership.ts",
        originalText: "if (remaining <= 0) {",
        replacement: "if (remaining <= -1e9) {",
    },
    {
        rule: "The lease is shorter than the followers' promise, whatever the clocks' rates",
        file: "consensus/createLeadership.ts",
        originalText: "timing.minimumElectionTimeoutMilliseconds / (1 + timing.clockRateDifference)",
        replacement: "timing.minimumElectionTimeoutMilliseconds * 2",
    },
    {
        rule: "A read waits for the proof of leadership",
        file: "consensus/createLeadership.ts",
        originalText:
            "while (state.leads(term) && getLeaseMilliseconds() === 0 && getMajorityMilliseconds() <= start) {",
        replacement: "while (state.leads(term) && start === -1) {",
    },
    {
        rule: "A read waits for an entry of the leader's own term",
        file: "consensus/createLeadership.ts",
        originalText: "while (state.leads(term) && !hasCommittedInTerm()) {",
        replacement: "while (state.leads(term) && term === -1n) {",
    },
    {
        rule: "A read waits until the state machine holds what was committed",
        file: "consensus/createReadBarrier.ts",
        originalText: "index !== undefined && await applier.waitForIndex(index, timing.proposalTimeoutMilliseconds)",
        replacement: "index !== undefined && timing.proposalTimeoutMilliseconds > 0",
    },
    {
        rule: "A part of a snapshot is taken only with its checksum",
        file: "consensus/createSnapshotReceiver.ts",
        originalText: "&& crc32(part.data) === part.checksum",
        replacement: "&& crc32(part.data) !== -1",
    },
    {
        rule: "A proposer hears \"committed\" only of its own entry",
        file: "consensus/createApplier.ts",
        originalText: "proposal.term === entry.term",
        replacement: "proposal.term !== 0n",
    },
];
