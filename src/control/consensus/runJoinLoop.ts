/*
 * The task with which a member finds its group: it asks the other addresses to take it in as a learner. Where all of them
 * are empty too, one of those that may start a group does so, with the identities that were answered.
 */
import { create } from "@bufbuild/protobuf";
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
import { hasEmptyLog } from "./hasEmptyLog";
import { JoinOptions } from "./JoinOptions";

/** After how many election timeouts without a leader a member asks whether it still belongs to its group. */
const rejoinElectionTimeouts = 3;

interface JoinResult {
    address: string;
    response: JoinResponse | undefined;
}

/**
 * Asks for a place in the group for as long as the member has none.
 * @param state - The member's state.
 * @param join - Where to ask.
 * @param startGroup - Starts a new group with members.
 */
export async function runJoinLoop(
    state: ConsensusState,
    join: JoinOptions,
    startGroup: (members: MemberSet) => Promise<void>,
): Promise<void> {
    const { options: { group, address: ownAddress, storage, clock, peers, logger }, timing, members } = state;
    const request = create(JoinRequestSchema, { group, memberId: storage.memberId, address: ownAddress });
    while (!state.isStopped()) {
        if (needsJoin()) {
            await requestJoinFromAll();
        }
        await state.roleSignal.wait(timing.maintenanceIntervalMilliseconds);
    }

    /** Tells whether the group may lack the member: its log says so, or no leader has spoken with it for long. */
    function needsJoin(): boolean {
        if (state.getRole() === ConsensusRole.Leader || state.hasRecentContact()) {
            return false;
        }
        const elapsed = clock.getMonotonicMilliseconds() - state.getLastContactMilliseconds();
        const isListed = members.getMember(storage.memberId)?.address === ownAddress;
        return !isListed || elapsed > rejoinElectionTimeouts * timing.maximumElectionTimeoutMilliseconds;
    }

    async function requestJoinFromAll(): Promise<void> {
        const addresses = typeof join.addresses === "function" ? join.addresses() : join.addresses;
        const otherAddresses = addresses.filter(address => address !== ownAddress);
        const results = await Promise.all(otherAddresses.map(requestJoin));
        if (results.some(answer => answer.response?.outcome === JoinOutcome.ACCEPTED)) {
            return;
        }
        const leaderAddress = results.map(answer => answer.response?.leaderAddress ?? "").find(isOtherLeader);
        if (leaderAddress !== undefined) {
            await peers.requestJoin(leaderAddress, request);
            return;
        }
        if (hasEmptyLog(state) && shouldBootstrap(results)) {
            const initialMembers = getInitialMembers(results);
            logger.info({ members: initialMembers.members.length }, "starts a new group");
            await startGroup(initialMembers);
        }

        function isOtherLeader(address: string): boolean {
            return address !== "" && address !== ownAddress && !otherAddresses.includes(address);
        }
    }

    async function requestJoin(address: string): Promise<JoinResult> {
        return { address, response: await peers.requestJoin(address, request) };
    }

    /** Tells whether the member is the one to start a group: all are empty, and no lower address may start one. */
    function shouldBootstrap(results: readonly JoinResult[]): boolean {
        const areAllEmpty = results.every(answer => answer.response?.outcome === JoinOutcome.NO_GROUP);
        const hasLowerAddress = results.some(answer => answer.response?.startsGroup && answer.address < ownAddress);
        return join.startsGroup && areAllEmpty && !hasLowerAddress;
    }

    function getInitialMembers(results: readonly JoinResult[]): MemberSet {
        const others = results.map(({ address, response }) => ({ address, memberId: response!.memberId }));
        const all = [{ address: ownAddress, memberId: storage.memberId }, ...others];
        return create(MemberSetSchema, {
            members: all.map((identity, position) => {
                const isVoter = position < state.limits.voterCount;
                return create(MemberSchema, { ...identity, role: isVoter ? MemberRole.VOTER : MemberRole.LEARNER });
            }),
        });
    }
}
