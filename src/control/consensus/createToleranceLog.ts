/*
 * Logs how many further losses of members the group bears, at each change and at most once a second.
 */
import { ConsensusState } from "./ConsensusState";
import { GroupTolerance } from "./GroupTolerance";
import { ToleranceLog } from "./ToleranceLog";

const logIntervalMilliseconds = 1_000;

/**
 * Creates the log of a member.
 * @param state - The member's state.
 */
export function createToleranceLog(state: ConsensusState): ToleranceLog {
    const { options: { clock, logger }, limits, timing } = state;
    const wantedLosses = Math.floor((limits.voterCount - 1) / 2);
    let ledTerm: bigint | undefined;
    let ledSinceMilliseconds = 0;
    let belowSinceMilliseconds: number | undefined;
    let seenView: string | undefined;
    let loggedView: string | undefined;
    let loggedMilliseconds = -Infinity;
    let suppressedChanges = 0;
    let lowestLosses = Infinity;
    return { observe };

    function observe(tolerance: GroupTolerance | undefined): void {
        const now = clock.getMonotonicMilliseconds();
        if (!tolerance) {
            ledTerm = undefined;
            return;
        }
        if (ledTerm !== state.getTerm()) {
            beginTerm(now);
        }
        // Until then, voters that have not answered yet can't be told from those that answer.
        if (now - ledSinceMilliseconds < timing.minimumElectionTimeoutMilliseconds) {
            return;
        }
        observeView(tolerance, now);
    }

    function beginTerm(now: number): void {
        ledTerm = state.getTerm();
        ledSinceMilliseconds = now;
        belowSinceMilliseconds = undefined;
        seenView = undefined;
        loggedView = undefined;
        suppressedChanges = 0;
        lowestLosses = Infinity;
    }

    function observeView(tolerance: GroupTolerance, now: number): void {
        const unresponsive = tolerance.voters.filter(voter => !voter.isResponsive);
        const view = [tolerance.furtherLosses, ...unresponsive.map(voter => `${voter.address}${voter.isReplaced}`)]
            .join();
        if (tolerance.furtherLosses < wantedLosses) {
            belowSinceMilliseconds ??= now;
        }
        lowestLosses = Math.min(lowestLosses, tolerance.furtherLosses);
        suppressedChanges += view === seenView ? 0 : 1;
        seenView = view;
        const isChanged = view !== loggedView || suppressedChanges > 0;
        if (isChanged && now - loggedMilliseconds >= logIntervalMilliseconds) {
            write(tolerance, now);
            loggedView = view;
            loggedMilliseconds = now;
            suppressedChanges = 0;
            lowestLosses = Infinity;
        }
        if (tolerance.furtherLosses >= wantedLosses && loggedView === view) {
            belowSinceMilliseconds = undefined;
        }
    }

    function write(tolerance: GroupTolerance, now: number): void {
        const { furtherLosses, voters } = tolerance;
        const fields = {
            term: String(ledTerm),
            furtherLosses,
            wantedLosses,
            voters: voters.length,
            unresponsive: voters.filter(voter => !voter.isResponsive && !voter.isReplaced).map(voter => voter.address),
            lost: voters.filter(voter => voter.isReplaced).map(voter => voter.address),
            lowestLosses,
            belowMilliseconds: belowSinceMilliseconds === undefined ? 0 : Math.round(now - belowSinceMilliseconds),
            suppressedChanges: suppressedChanges - 1,
        };
        const message = `the group bears ${furtherLosses} further losses`;
        if (furtherLosses === 0 && wantedLosses > 0) {
            logger.warn(fields, message);
        }
        else {
            logger.info(fields, message);
        }
    }
}
