/*
 * Reports that a majority of the voters has lost its disks, after which no member can lead again without an operator's
 * decision. Only answers show it, never silence: a voter counts as lost while its address answers with another identity
 * that neither leads nor holds a more complete log, since a group that goes on elsewhere would have told that identity.
 */
import { create } from "@bufbuild/protobuf";
import { LeadershipRequestSchema, LeadershipResponse, Member } from "../../protocol";
import { waitWithTimeout } from "../../runtime";
import { ConsensusState } from "./ConsensusState";
import { LostMajorityWatch } from "./LostMajorityWatch";

/** The number of maximum election timeouts without a leader after which the voters are asked. */
const suspectElectionTimeouts = 3;
/** How long the answers are waited for, in milliseconds. */
const answerTimeoutMilliseconds = 1_000;
/** The interval at which the log line is repeated while the majority is lost, in milliseconds. */
const logIntervalMilliseconds = 60_000;

/**
 * Creates the watch and starts its task.
 * @param state - The member's state.
 */
export function createLostMajorityWatch(state: ConsensusState): LostMajorityWatch {
    const { options: { group, address: ownAddress, storage, clock, peers, logger }, timing, members } = state;
    const request = create(LeadershipRequestSchema, { group });
    let lostVoters: readonly Member[] = [];
    let lastLogMilliseconds = -Infinity;
    let lastLeaderMilliseconds = clock.getMonotonicMilliseconds();
    state.startTask(run);
    return { getLostVoters: () => lostVoters };

    async function run(): Promise<void> {
        while (!state.isStopped()) {
            const now = clock.getMonotonicMilliseconds();
            if (state.getLeaderAddress() !== undefined) {
                lastLeaderMilliseconds = now;
            }
            const suspectMilliseconds = suspectElectionTimeouts * timing.maximumElectionTimeoutMilliseconds;
            const isSuspect = state.isVoter() && now - lastLeaderMilliseconds > suspectMilliseconds;
            update(isSuspect ? await findLostVoters() : []);
            await state.roleSignal.wait(timing.maintenanceIntervalMilliseconds);
        }
    }

    /** Asks the other voters' addresses; gets the lost voters if those that are left are no majority. */
    async function findLostVoters(): Promise<readonly Member[]> {
        const voters = members.getVoters();
        const answers = new Map<string, LeadershipResponse | undefined>();
        const others = voters.filter(({ address }) => address !== ownAddress);
        const asked = others.map(async ({ memberId, address }) => {
            answers.set(memberId, await peers.requestLeadership(address, request));
        });
        await waitWithTimeout(clock, Promise.all(asked), answerTimeoutMilliseconds);
        const lost = others.filter(({ memberId }) => {
            const answer = answers.get(memberId);
            return answer && answer.memberId !== memberId && !answer.leads && !isMoreComplete(answer);
        });
        return 2 * (voters.length - lost.length) > voters.length ? [] : lost;
    }

    function isMoreComplete(answer: LeadershipResponse): boolean {
        const lastIndex = storage.getLastIndex();
        const lastTerm = storage.getTerm(lastIndex) ?? 0n;
        return answer.lastTerm > lastTerm || (answer.lastTerm === lastTerm && answer.lastIndex > lastIndex);
    }

    /** Replaces the lost voters, and logs them when they change and at intervals. */
    function update(found: readonly Member[]): void {
        const now = clock.getMonotonicMilliseconds();
        const hasChanged = found.length !== lostVoters.length;
        lostVoters = found;
        if (found.length > 0 && (hasChanged || now - lastLogMilliseconds >= logIntervalMilliseconds)) {
            lastLogMilliseconds = now;
            logger.error(
                {
                    lostAddresses: found.map(({ address }) => address),
                    voters: members.getVoters().length,
                    lastIndex: String(storage.getLastIndex()),
                    term: String(state.getTerm()),
                },
                "a majority of voters is lost: their addresses answer with other identities; see lost-majority.md",
            );
        }
        else if (found.length === 0 && hasChanged) {
            logger.warn({ term: String(state.getTerm()) }, "a majority of voters may be present again");
        }
    }
}
