/*
 * The gauges of a member's status.
 */
import { GaugeName, Metrics } from "../../metrics";
import { ConsensusRole } from "./ConsensusRole";
import { LogStatus } from "./LogStatus";

/** The value of a gauge that only the leader can tell. */
const unknownValue = -1;

const roleValues: Readonly<Record<ConsensusRole, number>> = {
    [ConsensusRole.Stopped]: 0,
    [ConsensusRole.Learner]: 1,
    [ConsensusRole.Follower]: 2,
    [ConsensusRole.Candidate]: 3,
    [ConsensusRole.Leader]: 4,
};

/**
 * Adds the gauges of a member.
 * @param metrics - Shows the gauges.
 * @param getStatus - Gets the member's status.
 */
export function addLogGauges(metrics: Metrics, getStatus: () => LogStatus): void {
    addGauge(GaugeName.LogTerm, ({ term }) => Number(term));
    addGauge(GaugeName.LogCommitIndex, ({ commitIndex }) => Number(commitIndex));
    addGauge(GaugeName.LogRole, ({ role }) => roleValues[role]);
    addGauge(GaugeName.LogLeaderKnown, ({ leaderAddress }) => (leaderAddress === undefined ? 0 : 1));
    addGauge(GaugeName.LogVoters, ({ members }) => members.filter(({ isVoter }) => isVoter).length);
    addGauge(GaugeName.LogLearners, ({ members }) => members.filter(({ isVoter }) => !isVoter).length);
    addGauge(GaugeName.LogResponsiveVoters, ({ tolerance }) => tolerance?.responsiveVoters ?? unknownValue);
    addGauge(GaugeName.LogFurtherLosses, ({ tolerance }) => tolerance?.furtherLosses ?? unknownValue);
    addGauge(GaugeName.LogLearnerLag, getLearnerLag);
    addGauge(GaugeName.LogEntryBytes, ({ entryBytes }) => entryBytes);
    addGauge(GaugeName.LogEntriesSinceSnapshot, ({ entriesSinceSnapshot }) => entriesSinceSnapshot);

    function addGauge(name: GaugeName, read: (status: LogStatus) => number): void {
        metrics.addGauge(name, () => read(getStatus()));
    }
}

/** Gets the number of committed entries that the learner furthest behind lacks. */
function getLearnerLag({ tolerance, members, commitIndex }: LogStatus): number {
    if (!tolerance) {
        return unknownValue;
    }
    const lags = members
        .filter(({ isVoter }) => !isVoter)
        .map(({ matchIndex }) => Number(commitIndex - (matchIndex ?? 0n)));
    return Math.max(0, ...lags);
}
