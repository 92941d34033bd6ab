/*
 * Requests votes from all voters and counts them.
 */
import { Member, VoteResponse } from "../../protocol";
import { Clock, detach, runAfter } from "../../runtime";
import { VoteResult } from "./VoteResult";

interface VoteCollectionOptions {
    /** The members whose votes count. */
    voters: readonly Member[];
    /** The candidate's own identity; it votes for itself. */
    ownId: string;
    /** Requests a vote from the member at an address. */
    requestVote: (address: string) => Promise<VoteResponse | undefined>;
    /** Called with the term of each response. */
    onTerm: (term: bigint) => void;
    /** The clock of the timeout. */
    clock: Clock;
    /** The maximum time to wait for responses, in milliseconds. */
    timeoutMilliseconds: number;
    /** How long a request has to be unanswered, in milliseconds, so that the voter counts as slow and is asked again. */
    slowVoterMilliseconds: number;
}

/**
 * Requests votes from all voters at once. A voter whose disk is slow is asked again, since its vote may be stored by then;
 * one that can't be reached is not. A vote counts only if the response has the identity listed in the member set,
 * so that a member whose disk was emptied, and with it its earlier votes, is not counted.
 * @param options - The voters and the way to reach them.
 * @returns Whether a majority granted its vote in time, and what each voter answered until then.
 */
export function collectVotes(options: VoteCollectionOptions): Promise<VoteResult> {
    const { voters, ownId, requestVote, onTerm, clock, timeoutMilliseconds, slowVoterMilliseconds } = options;
    const others = voters.filter(voter => voter.memberId !== ownId);
    const majority = Math.floor(voters.length / 2) + 1;
    let grantedCount = voters.length - others.length;
    let outstandingCount = others.length;
    const answers = new Map<string, VoteResponse>();
    const controller = new AbortController();
    return new Promise(resolve => {
        runAfter(clock, timeoutMilliseconds, () => finish(false), controller.signal);
        others.forEach(voter => detach(requestVoteFrom(voter)));
        finishIfDecided();

        async function requestVoteFrom(voter: Member): Promise<void> {
            const sentMilliseconds = clock.getMonotonicMilliseconds();
            const response = await requestVote(voter.address);
            const elapsed = clock.getMonotonicMilliseconds() - sentMilliseconds;
            if (!response && elapsed >= slowVoterMilliseconds && !controller.signal.aborted) {
                detach(requestVoteFrom(voter));
                return;
            }
            outstandingCount -= 1;
            if (response) {
                answers.set(voter.memberId, response);
                onTerm(response.term);
                grantedCount += response.granted && response.memberId === voter.memberId ? 1 : 0;
                if (!response.granted && response.memberId === voter.memberId) {
                    // Where votes are split, a voter that doesn't respond must not delay the next election.
                    runAfter(clock, 2 * slowVoterMilliseconds, () => finish(false), controller.signal);
                }
            }
            finishIfDecided();
        }

        function finishIfDecided(): void {
            if (grantedCount >= majority) {
                finish(true);
            }
            else if (grantedCount + outstandingCount < majority) {
                finish(false);
            }
        }

        function finish(isElected: boolean): void {
            resolve(getResult(isElected));
            controller.abort();
        }
    });

    function getResult(isElected: boolean): VoteResult {
        const unanswered = others.filter(voter => !answers.has(voter.memberId));
        const replaced = others.filter(({ memberId }) => (answers.get(memberId)?.memberId ?? memberId) !== memberId);
        const answered = others.filter(voter => !unanswered.includes(voter) && !replaced.includes(voter));
        return {
            isElected,
            granted: getAddresses(answered.filter(({ memberId }) => answers.get(memberId)!.granted)),
            refused: answered
                .filter(({ memberId }) => !answers.get(memberId)!.granted)
                .map(({ memberId, address }) => ({ address, term: String(answers.get(memberId)!.term) })),
            replaced: getAddresses(replaced),
            unanswered: getAddresses(unanswered),
        };
    }
}

function getAddresses(members: readonly Member[]): readonly string[] {
    return members.map(({ address }) => address);
}
