/*
 * Logs the group's repairs. It compares committed member sets, so that it tells what happened whoever made the change:
 * a repair begins when the leader finds a voter lost or missing, and ends when all voters are there.
 */
import { Member, MemberRole, MemberSet } from "../../protocol";
import { ConsensusState } from "./ConsensusState";
import { GroupTolerance } from "./GroupTolerance";
import { Leadership } from "./Leadership";
import { RepairLog } from "./RepairLog";

/** A repair in progress. */
interface Repair {
    /** When it began, in monotonic milliseconds. */
    startMilliseconds: number;
    /** The steps until now, each with the time since the begin. */
    steps: string[];
    /** The identities of the learners that have caught up. */
    caughtUp: Set<string>;
}

/** What happened to a member. */
type MemberStep = readonly [step: string, member: Member];

/** The number of steps that the line at the end shows; each step has a line of its own. */
const maximumSteps = 32;

/**
 * Creates the log of a member.
 * @param state - The member's state.
 * @param leadership - Gives the replication progress of each peer.
 */
export function createRepairLog(state: ConsensusState, leadership: Leadership): RepairLog {
    const { options: { clock, logger }, limits, timing, members } = state;
    let repair: Repair | undefined;
    let observedMembers: MemberSet | undefined;
    return { observe };

    function observe(tolerance: GroupTolerance | undefined): void {
        if (!tolerance) {
            finish("the group's repair is left to another leader");
            observedMembers = undefined;
            return;
        }
        if (!leadership.hasCommittedInTerm()) {
            return;
        }
        const causes = getCauses(tolerance);
        if (!repair && causes.length > 0) {
            begin(causes);
        }
        const current = members.getAt(state.getCommitIndex());
        getSteps(observedMembers ?? current, current).forEach(([step, member]) => addStep(step, member));
        observedMembers = current;
        if (repair) {
            current.members.filter(hasNewlyCaughtUp).forEach(member => addStep("learner caught up", member));
        }
        if (causes.length === 0 && current === members.getCurrent()) {
            finish("the group's repair ended");
        }
    }

    /** Gets what is wrong with the voters. */
    function getCauses({ voters }: GroupTolerance): readonly string[] {
        const unavailable = voters.flatMap(({ address, isReplaced, unresponsiveMilliseconds }) => {
            return isReplaced || hasSuccessor(address)
                ? [`${address} lost its disk`]
                : unresponsiveMilliseconds >= timing.voterReplacementTimeoutMilliseconds
                ? [`${address} does not answer`]
                : [];
        });
        const hasVoterCount = voters.length === limits.voterCount;
        return hasVoterCount ? unavailable : [...unavailable, `${voters.length} of ${limits.voterCount} voters`];
    }

    /** Returns whether another identity belongs to the group at a voter's address, which has not answered with it yet. */
    function hasSuccessor(address: string): boolean {
        return members.getCurrent().members.filter(member => member.address === address).length > 1;
    }

    function begin(causes: readonly string[]): void {
        repair = { startMilliseconds: clock.getMonotonicMilliseconds(), steps: [], caughtUp: new Set() };
        const learners = members.getCurrent().members.filter(isLearner).map(({ memberId, address }) => {
            const matchIndex = leadership.getProgress(memberId)?.matchIndex ?? 0n;
            return { address, entriesBehind: Number(state.getCommitIndex() - matchIndex) };
        });
        logger.info({ term: String(state.getTerm()), causes, learners }, "the group's repair begins");
    }

    function addStep(step: string, { memberId, address }: Member): void {
        const repairMilliseconds = getRepairMilliseconds();
        logger.info({ step, memberId, address, repairMilliseconds }, "the group's members changed");
        if (repair && repair.steps.length < maximumSteps) {
            repair.steps.push(`${step}: ${address} after ${repairMilliseconds} ms`);
        }
    }

    function hasNewlyCaughtUp(member: Member): boolean {
        const progress = leadership.getProgress(member.memberId);
        const hasCaughtUp = progress !== undefined && progress.matchIndex >= state.getCommitIndex();
        if (!repair || !isLearner(member) || !hasCaughtUp || repair.caughtUp.has(member.memberId)) {
            return false;
        }
        repair.caughtUp.add(member.memberId);
        return true;
    }

    function finish(message: string): void {
        if (repair) {
            const { steps } = repair;
            logger.info(
                { term: String(state.getTerm()), durationMilliseconds: getRepairMilliseconds(), steps },
                message,
            );
            repair = undefined;
        }
    }

    function getRepairMilliseconds(): number | undefined {
        return repair && Math.round(clock.getMonotonicMilliseconds() - repair.startMilliseconds);
    }
}

function isLearner({ role }: Member): boolean {
    return role === MemberRole.LEARNER;
}

/** Gets the differences of two member sets. */
function getSteps(before: MemberSet, after: MemberSet): readonly MemberStep[] {
    if (before === after) {
        return [];
    }
    const added = after.members.flatMap((member): MemberStep[] => {
        const former = before.members.find(({ memberId }) => memberId === member.memberId);
        const kind = isLearner(member) ? "learner" : "voter";
        return former === undefined
            ? [[`${kind} added`, member]]
            : former.role !== member.role
            ? [[`became a ${kind}`, member]]
            : former.address !== member.address
            ? [["has a new address", member]]
            : [];
    });
    const removed = before.members
        .filter(member => !after.members.some(({ memberId }) => memberId === member.memberId))
        .map((member): MemberStep => [`${isLearner(member) ? "learner" : "voter"} removed`, member]);
    return [...added, ...removed];
}
