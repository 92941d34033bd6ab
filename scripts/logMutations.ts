/*
 * The mutations of the replicated log, each of which breaks one rule.
 */
import { Mutation } from "./Mutation";

/** The mutations that checkLogMutations applies, one at a time. */
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
        rule: "Records that a killed process left unsynced are synced before they are relied on",
        file: "storage/createSegmentWriter.ts",
        originalText: "            await segment.file.sync();\n            return segment;",
        replacement: "            return segment;",
    },
    {
        rule: "Names that a killed process left unsynced are synced before they are relied on",
        file: "storage/openLogStorage.ts",
        originalText: "await fileSystem.syncFolder(folder);",
        replacement: "",
    },
    {
        rule: "The folder's own name is synced before its identity is used",
        file: "storage/openLogStorage.ts",
        originalText: "await fileSystem.syncFolder(dirname(resolve(folder)));",
        replacement: "",
    },
    {
        rule: "Covered segments whose removal a crash undid in part are no damage",
        file: "storage/readLogFolder.ts",
        originalText: "if (followsGap && !coversSegmentsBefore(segment.records, storedSnapshot)) {",
        replacement: "if (followsGap) {",
    },
    {
        rule: "A truncation may reach back into a removed segment",
        file: "storage/createEntryList.ts",
        originalText: "if (firstIndex !== undefined && index < firstIndex) {",
        replacement: "if (firstIndex === -1n) {",
    },
    {
        rule: "The contents of a replaced file are synced before the file is renamed",
        file: "storage/writeFileAtomically.ts",
        originalText: "await file.sync();",
        replacement: "",
    },
    {
        rule: "The folder of a replaced file is synced before the replacement is reported as done",
        file: "storage/writeFileAtomically.ts",
        originalText: "await fileSystem.syncFolder(dirname(path));",
        replacement: "",
    },
    {
        rule: "A damaged record that is followed by intact records stops the member",
        file: "storage/decodeSegment.ts",
        originalText: "laterOffset === undefined",
        replacement: "laterOffset !== -1",
    },
    {
        rule: "A record's checksum is verified",
        file: "storage/decodeSegment.ts",
        originalText: "buffer.readUInt32LE(offset + 8) === getFrameChecksum(salt, offset, payload)",
        replacement: "salt !== -1",
    },
    {
        rule: "Nothing is written after a disk failure",
        file: "storage/createLogStorage.ts",
        originalText:
            "failure = describeStorageError(thrown);\n            return { kind: \"failed\", reason: failure };",
        replacement: "return { kind: \"failed\", reason: describeStorageError(thrown) };",
    },
    {
        rule: "Only the process with the highest lock number acquires the lock",
        file: "storage/lockFolder.ts",
        originalText: "!isCreated || highestNumber !== ownNumber",
        replacement: "highestNumber === -1",
    },
    {
        rule: "A vote is persisted before it is granted",
        file: "consensus/createElection.ts",
        originalText: "const isStored = await runWithOpenVote(() => state.persist());",
        replacement: "const isStored = true;",
    },
    {
        rule: "A candidate wins a pre-vote before it increments the term",
        file: "consensus/createElection.ts",
        originalText: "!await winsPreVote()",
        replacement: "state.isStopped()",
    },
    {
        rule: "A member votes at most once in a term",
        file: "consensus/createElection.ts",
        originalText: "const isFree = state.getVote() === \"\" || state.getVote() === request.candidateId;",
        replacement: "const isFree = true;",
    },
    {
        rule: "A vote is granted only to a candidate whose log is up to date",
        file: "consensus/createElection.ts",
        originalText: "|| !isFree || !isLogComplete(request)",
        replacement: "|| !isFree",
    },
    {
        rule: "A member with recent contact to a leader votes for no other member",
        file: "consensus/createElection.ts",
        originalText: "|| state.hasRecentContact()) {\n            return refuse(",
        replacement: ") {\n            return refuse(",
    },
    {
        rule: "A member keeps its promise to the leader across a restart",
        file: "consensus/createConsensusState.ts",
        originalText: "term === 0n ? -Infinity : clock.getMonotonicMilliseconds()",
        replacement: "-Infinity",
    },
    {
        rule: "A lease relies on the promise that a member has given",
        file: "consensus/createConsensusState.ts",
        originalText: "return Math.min(askedMilliseconds || minimum, minimum * timing.maximumPromiseFactor);",
        replacement: "return askedMilliseconds || minimum;",
    },
    {
        rule: "A restarted member keeps the longest promise that it may have given",
        file: "consensus/createConsensusState.ts",
        originalText: "timing.minimumElectionTimeoutMilliseconds * timing.maximumPromiseFactor;",
        replacement: "timing.minimumElectionTimeoutMilliseconds;",
    },
    {
        rule: "A member keeps a promise that is longer than the minimum election timeout",
        file: "consensus/createConsensusState.ts",
        originalText: "lastContactMilliseconds + promise);",
        replacement: "lastContactMilliseconds + timing.minimumElectionTimeoutMilliseconds);",
    },
    {
        rule: "A vote counts only if it comes from the member id that the group has for the voter",
        file: "consensus/collectVotes.ts",
        originalText: "response.granted && response.memberId === voter.memberId",
        replacement: "response.granted",
    },
    {
        rule: "A member without a stored term acknowledges no heartbeat",
        file: "consensus/createFollower.ts",
        originalText: "hasStoredTerm ||= await state.persist() && storage.getHardState().term > 0n;",
        replacement: "hasStoredTerm = true;",
    },
    {
        rule: "A heartbeat keeps its receiver from voting for another member",
        file: "consensus/createFollower.ts",
        originalText:
            "state.followLeader(request.leaderAddress, request.promiseMilliseconds);\n        }\n        hasStoredTerm",
        replacement: "}\n        hasStoredTerm",
    },
    {
        rule: "Pre-votes are refused while an election is open",
        file: "consensus/createElection.ts",
        originalText: "isElectionOpen(request.candidateId) ?",
        replacement: "state.isStopped() ?",
    },
    {
        rule: "Entries that a peer is storing are sent again alone",
        file: "consensus/sendEntries.ts",
        originalText: "progress.unansweredIndex = response ? undefined : entries.at(-1)?.index;",
        replacement: "",
    },
    {
        rule: "Entries are acknowledged only by the member id that they were addressed to",
        file: "consensus/createFollower.ts",
        originalText: "request.group === group && request.recipientId === storage.memberId",
        replacement: "request.group === group",
    },
    {
        rule: "A member that voted in a newer term while it stored entries does not acknowledge them to the old leader",
        file: "consensus/createFollower.ts",
        originalText: "if (state.getTerm() !== request.term || state.isStopped()) {",
        replacement: "if (state.isStopped()) {",
    },
    {
        rule: "Entries are appended only if the log matches the entry before them",
        file: "consensus/createFollower.ts",
        originalText: "if (mismatch !== undefined) {",
        replacement: "if (mismatch !== undefined && mismatch < 0n) {",
    },
    {
        rule: "A follower commits only entries that are known to match the leader's log",
        file: "consensus/createFollower.ts",
        originalText: "request.commitIndex < matchIndex ? request.commitIndex : matchIndex",
        replacement: "request.commitIndex",
    },
    {
        rule: "A leader commits entries of earlier terms only through an entry of its own term",
        file: "consensus/createLeadership.ts",
        originalText: "if (index >= startIndex) {",
        replacement: "if (index >= 0n) {",
    },
    {
        rule: "A leader counts its own entries only once they are durable",
        file: "consensus/createLeadership.ts",
        originalText: "? getProposals().getDurableIndex(ledTerm)",
        replacement: "? storage.getLastIndex()",
    },
    {
        rule: "Learners do not count towards the majority",
        file: "consensus/createMemberHistory.ts",
        originalText: "member => member.role === MemberRole.VOTER",
        replacement: "member => member.role !== MemberRole.UNSPECIFIED",
    },
    {
        rule: "A learner becomes a voter only once it has all committed entries",
        file: "consensus/createMembership.ts",
        originalText: "!hasCaughtUp(change.memberId)",
        replacement: "hasCaughtUp(change.memberId) === undefined",
    },
    {
        rule: "Only one membership change is in progress at a time",
        file: "consensus/createMembership.ts",
        originalText: "if (!isSettled) {",
        replacement: "if (isSettled === undefined) {",
    },
    {
        rule: "A leader that loses contact with the majority steps down within the lease",
        file: "consensus/createLeadership.ts",
        originalText: "if (remaining <= 0) {",
        replacement: "if (remaining <= -1e9) {",
    },
    {
        rule: "The lease is shorter than the followers' promise at every permitted clock rate",
        file: "consensus/createLeadership.ts",
        originalText: "return promiseMilliseconds / (1 + timing.clockRateDifference);",
        replacement: "return promiseMilliseconds * 2;",
    },
    {
        rule: "A read waits until the leadership is confirmed",
        file: "consensus/createLeadership.ts",
        originalText:
            "while (state.leads(term) && getLeaseMilliseconds() === 0 && getMajorityMilliseconds() <= start) {",
        replacement: "while (state.leads(term) && start === -1) {",
    },
    {
        rule: "A read waits until an entry of the leader's own term is committed",
        file: "consensus/createLeadership.ts",
        originalText: "while (state.leads(term) && !hasCommittedInTerm()) {",
        replacement: "while (state.leads(term) && term === -1n) {",
    },
    {
        rule: "A read waits until the state machine has applied the committed entries",
        file: "consensus/createReadBarrier.ts",
        originalText: "await applier.waitForIndex(index, timing.proposalTimeoutMilliseconds)",
        replacement: "timing.proposalTimeoutMilliseconds > 0",
    },
    {
        rule: "A new group rests on responses of one round",
        file: "consensus/createJoinRound.ts",
        originalText: "entry.answeredMilliseconds < startMilliseconds",
        replacement: "entry.answeredMilliseconds === startMilliseconds + 1",
    },
    {
        rule: "A new group is started only once all addresses have responded that they belong to none",
        file: "consensus/runJoinLoop.ts",
        originalText: "entries.every(([, { outcome }]) => outcome === JoinOutcome.NO_GROUP)",
        replacement: "entries.length >= 0",
    },
    {
        rule: "A part of a snapshot is accepted only if its checksum matches",
        file: "consensus/createSnapshotReceiver.ts",
        originalText: "&& crc32(part.data) === part.checksum",
        replacement: "&& crc32(part.data) !== -1",
    },
    {
        rule: "A proposal is reported as committed only if the committed entry is its own",
        file: "consensus/createApplier.ts",
        originalText: "proposal.term === entry.term",
        replacement: "proposal.term !== 0n",
    },
    {
        rule: "A learner that is gone makes room for others",
        file: "consensus/findLostLearner.ts",
        originalText: "if (freePlaces >= voterCount) {",
        replacement: "if (freePlaces >= 0) {",
    },
    {
        rule: "A learner that has just been added is not taken for one that is gone",
        file: "consensus/runMembershipMaintenance.ts",
        originalText: "?.addedMilliseconds ?? now;",
        replacement: "?.addedMilliseconds ? 0 : 0;",
    },
];
