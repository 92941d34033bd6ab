/*
 * The task that makes a member join its group: it asks the other addresses to add it as a learner. Where none of them
 * belongs to a group, the one with the lowest address that may start a group does so, with the identities in the
 * responses.
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
import { hasEmptyLog } from "./hasEmptyLog";
import { JoinOptions } from "./JoinOptions";

/** The number of maximum election timeouts without a leader after which a member asks to join again. */
const rejoinElectionTimeouts = 3;

interface JoinResult {
    /** The address that was asked. */
    address: string;
    /** The response; undefined where none arrived. */
    response: JoinResponse | undefined;
}

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
    while (!state.isStopped()) {
        if (needsJoin()) {
            await requestJoinFromAll();
        }
        await state.roleSignal.wait(timing.maintenanceIntervalMilliseconds);
    }

    /**
     * Returns whether the member may be missing from its group: its log does not list it, or no leader's message
     * arrives.
     */
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
        if (results.some(result => result.response?.outcome === JoinOutcome.ACCEPTED)) {
            return;
        }
        logUnaccepted(results);
        const leaderAddress = results.map(result => result.response?.leaderAddress ?? "").find(isOtherLeader);
        if (leaderAddress !== undefined) {
            const result = await requestJoin(leaderAddress);
            if (result.response?.outcome !== JoinOutcome.ACCEPTED) {
                logUnaccepted([result]);
            }
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

    /** Logs at most once a second what each address answered to a request that none accepted. */
    function logUnaccepted(results: readonly JoinResult[]): void {
        const answers = Object.fromEntries(results.map(({ address, response }) => {
            return [address, response ? JoinOutcome[response.outcome] : "unanswered"];
        }));
        const isListed = members.getMember(storage.memberId)?.address === ownAddress;
        const cause = isListed ? "finds no leader" : "is not in the group";
        limiter.limit(
            cause,
            suppressedCount => logger.info({ cause, answers, suppressedCount }, "asked to join in vain"),
        );
    }

    async function requestJoin(address: string): Promise<JoinResult> {
        return { address, response: await peers.requestJoin(address, request) };
    }

    /** Returns whether the member starts the group: no address belongs to one, and no lower address may start one. */
    function shouldBootstrap(results: readonly JoinResult[]): boolean {
        const areAllEmpty = results.every(result => result.response?.outcome === JoinOutcome.NO_GROUP);
        const hasLowerAddress = results.some(result => result.response?.startsGroup && result.address < ownAddress);
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
