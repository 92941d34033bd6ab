/*
 * Ends the time early for which a restarted member refuses votes. Before its restart the member may have acknowledged a
 * leader's message, and the leader's lease relies on that. The lease ends with the leadership and with the leader's
 * process: once each member has said after the restart that it does not lead, no lease from before it can be valid. An
 * address belongs to one process at a time, so that a process with another identity there shows that the former one has
 * ended. The members that any of them knows are asked too, since a leader may have joined while this member lagged behind.
 * Where a member does not respond, such as a leader that is cut off or suspended, the member waits for the whole time.
 */
import { create } from "@bufbuild/protobuf";
import {
    LeadershipRequest,
    LeadershipRequestSchema,
    LeadershipResponse,
    LeadershipResponseSchema,
    Member,
} from "../../protocol";
import { waitWithTimeout } from "../../runtime";
import { ConsensusRole } from "./ConsensusRole";
import { ConsensusState } from "./ConsensusState";
import { FormerLease } from "./FormerLease";

/** The pause between two rounds of questions, in milliseconds: restarted processes become reachable one after another. */
const roundPauseMilliseconds = 25;
/** How long a round waits for responses, in milliseconds: several network delays; later responses count as well. */
const roundTimeoutMilliseconds = 50;

/**
 * Creates the check of a member and starts its task.
 * @param state - The member's state.
 */
export function createFormerLease(state: ConsensusState): FormerLease {
    const { options: { group, address: ownAddress, storage, clock, peers, logger }, timing } = state;
    const request = create(LeadershipRequestSchema, { group });
    /** How long a candidate waits for another one with a more complete log, for each such candidate, in milliseconds. */
    const staggerMilliseconds = timing.minimumElectionTimeoutMilliseconds / 2;
    /** The responses of members that do not lead, by address. */
    const responses = new Map<string, LeadershipResponse>();
    let round: Promise<void> | undefined;
    state.startTask(runRounds);
    return { check, handleLeadership };

    async function runRounds(): Promise<void> {
        while (!state.isStopped() && state.hasFormerContact()) {
            await check();
            await clock.sleep(roundPauseMilliseconds);
        }
    }

    function check(): Promise<void> {
        if (state.isStopped() || !state.hasFormerContact()) {
            return Promise.resolve();
        }
        round ??= runRound().finally(() => round = undefined);
        return round;
    }

    async function runRound(): Promise<void> {
        const addresses = getUnansweredAddresses();
        await waitWithTimeout(clock, Promise.all(addresses.map(ask)), roundTimeoutMilliseconds);
        if (getKnownMembers().length > 0 && getUnansweredAddresses().length === 0 && state.hasFormerContact()) {
            const electionDelayMilliseconds = getBetterCandidateCount() * staggerMilliseconds;
            logger.info({ electionDelayMilliseconds }, "no member leads since the restart");
            state.endFormerContact(electionDelayMilliseconds);
        }
    }

    async function ask(address: string): Promise<void> {
        const response = await peers.requestLeadership(address, request);
        if (response && !response.leads) {
            responses.set(address, response);
        }
    }

    /** Gets the members that this member or one that has responded knows. */
    function getKnownMembers(): readonly Member[] {
        return [
            ...state.members.getCurrent().members,
            ...state.members.getAt(state.getCommitIndex()).members,
            ...[...responses.values()].flatMap(response => response.members),
        ];
    }

    function getUnansweredAddresses(): readonly string[] {
        const addresses = new Set(getKnownMembers().map(member => member.address));
        return [...addresses].filter(address => address !== ownAddress && !responses.has(address));
    }

    /** Gets the number of voters with a more complete log, or with an equal one and a lower identity. */
    function getBetterCandidateCount(): number {
        const lastIndex = storage.getLastIndex();
        const lastTerm = storage.getTerm(lastIndex) ?? 0n;
        return state.members.getVoters().filter(({ memberId, address }) => {
            const response = responses.get(address);
            if (response?.memberId !== memberId) {
                return false;
            }
            if (response.lastTerm !== lastTerm) {
                return response.lastTerm > lastTerm;
            }
            return response.lastIndex === lastIndex ? memberId < storage.memberId : response.lastIndex > lastIndex;
        }).length;
    }

    function handleLeadership(received: LeadershipRequest): Promise<LeadershipResponse | undefined> {
        if (state.isStopped() || received.group !== group) {
            return Promise.resolve(undefined);
        }
        const lastIndex = storage.getLastIndex();
        return Promise.resolve(create(LeadershipResponseSchema, {
            memberId: storage.memberId,
            leads: state.getRole() === ConsensusRole.Leader,
            lastIndex,
            lastTerm: storage.getTerm(lastIndex) ?? 0n,
            members: [...state.members.getCurrent().members],
        }));
    }
}
