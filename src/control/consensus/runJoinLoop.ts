/*
 * The task that makes a member join its group: it asks each of the other addresses on its own to add it as a learner, so
 * that one which does not answer delays none of the others. Where none of them belongs to a group, the one with the
 * lowest address that may start a group does so, with the identities in the responses of one round.
 */
import { create } from "@bufbuild/protobuf";
import { createLogLimiter } from "../../logging";
import {
    JoinOutcome,
    JoinRequestSchema,
    JoinResponse,
    MemberRole,
    MemberSchema,
    MemberSet,
    MemberSetSchema,
} from "../../protocol";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { createJoinRound } from "./createJoinRound";
import { hasEmptyLog } from "./hasEmptyLog";
import { JoinOptions } from "./JoinOptions";

/** The number of maximum election timeouts without a leader after which a member asks to join again. */
const rejoinElectionTimeouts = 3;

/**
 * Asks to join whenever the member may be missing from its group, until the member stops.
 * @param state - The member's state.
 * @param join - The addresses, and whether the member may start a group.
 * @param startGroup - Starts a new group with the given members.
 */
export async function runJoinLoop(
    state: ConsensusState,
    join: JoinOptions,
    startGroup: (members: MemberSet) => Promise<void>,
): Promise<void> {
    const { options: { group, address: ownAddress, storage, clock, peers, logger }, timing, members } = state;
    const limiter = createLogLimiter(clock);
    const request = create(JoinRequestSchema, { group, memberId: storage.memberId, address: ownAddress });
    const round = createJoinRound({
        clock,
        intervalMilliseconds: timing.heartbeatIntervalMilliseconds,
        timeoutMilliseconds: timing.maximumElectionTimeoutMilliseconds,
        roundMilliseconds: rejoinElectionTimeouts * timing.maximumElectionTimeoutMilliseconds,
    });
    /** The last answer of each address that has not accepted the member. */
    const answers = new Map<string, string>();
    let isStartingGroup = false;
    while (!state.isStopped()) {
        if (needsJoin()) {
            round.renew();
            getOtherAddresses().forEach(askIfDue);
            await startGroupIfComplete();
            await state.roleSignal.wait(timing.heartbeatIntervalMilliseconds);
        }
        else {
            await state.roleSignal.wait(timing.maintenanceIntervalMilliseconds);
        }
    }

    /**
     * Returns whether the member may be missing from its group: its log does not list it, or no leader's message
     * arrives.
     */
    function needsJoin(): boolean {
        if (state.isStopped() || state.getRole() === ConsensusRole.Leader || state.hasRecentContact()) {
            return false;
        }
        const elapsed = clock.getMonotonicMilliseconds() - state.getLastContactMilliseconds();
        const isListed = members.getMember(storage.memberId)?.address === ownAddress;
        return !isListed || elapsed > rejoinElectionTimeouts * timing.maximumElectionTimeoutMilliseconds;
    }

    function getOtherAddresses(): readonly string[] {
        const addresses = typeof join.addresses === "function" ? join.addresses() : join.addresses;
        return addresses.filter(address => address !== ownAddress);
    }

    function askIfDue(address: string): void {
        const question = round.beginQuestion(address);
        if (question) {
            state.startTask(async () => {
                const response = await peers.requestJoin(address, request);
                question.finish(response);
                if (response?.outcome !== JoinOutcome.ACCEPTED) {
                    logUnaccepted(address, response);
                }
                await handleResponse(response);
            });
        }
    }

    /** Logs at most once a second what each address has answered last to requests that were not accepted. */
    function logUnaccepted(address: string, response: JoinResponse | undefined): void {
        answers.set(address, response ? JoinOutcome[response.outcome] : "unanswered");
        const isListed = members.getMember(storage.memberId)?.address === ownAddress;
        const cause = isListed ? "finds no leader" : "is not in the group";
        const fields = { cause, answers: Object.fromEntries(answers) };
        limiter.limit(cause, suppressedCount => logger.info({ ...fields, suppressedCount }, "asked to join in vain"));
    }

    async function handleResponse(response: JoinResponse | undefined): Promise<void> {
        if (!response || !needsJoin()) {
            return;
        }
        const { leaderAddress } = response;
        if (response.outcome === JoinOutcome.NOT_LEADER && leaderAddress !== "" && leaderAddress !== ownAddress) {
            askIfDue(leaderAddress);
        }
        await startGroupIfComplete();
    }

    /** Starts the group once all addresses have responded in this round that they belong to none. */
    async function startGroupIfComplete(): Promise<void> {
        const responses = round.getResponses(getOtherAddresses());
        if (!isStartingGroup && hasEmptyLog(state) && responses && shouldBootstrap(responses)) {
            isStartingGroup = true;
            const initialMembers = getInitialMembers(responses);
            logger.info({ members: initialMembers.members.length }, "starts a new group");
            await startGroup(initialMembers);
            isStartingGroup = false;
        }
    }

    /** Returns whether the member starts the group: no address belongs to one, and no lower address may start one. */
    function shouldBootstrap(responses: ReadonlyMap<string, JoinResponse>): boolean {
        const entries = [...responses];
        const areAllEmpty = entries.every(([, { outcome }]) => outcome === JoinOutcome.NO_GROUP);
        const hasLowerAddress = entries.some(([address, { startsGroup }]) => startsGroup && address < ownAddress);
        return join.startsGroup && areAllEmpty && !hasLowerAddress;
    }

    function getInitialMembers(responses: ReadonlyMap<string, JoinResponse>): MemberSet {
        const others = [...responses].map(([address, { memberId }]) => ({ address, memberId }));
        const all = [{ address: ownAddress, memberId: storage.memberId }, ...others];
        return create(MemberSetSchema, {
            members: all.map((identity, position) => {
                const isVoter = position < state.limits.voterCount;
                return create(MemberSchema, { ...identity, role: isVoter ? MemberRole.VOTER : MemberRole.LEARNER });
            }),
        });
    }
}
