/*
 * Whether this process may act on the configuration that it holds: by its lease; without one by the word of a majority
 * of the region's sidecars, none of which holds a newer revision or a lease; or by the lease of the sidecar that it
 * dispatches to, which decides for itself. One round of asking serves all requests for as long as the word holds.
 */
import { Authority } from "./Authority";
import { AuthorityOptions } from "./AuthorityOptions";
import { getElapsedMilliseconds } from "./getElapsedMilliseconds";
import { readStopwatch } from "./readStopwatch";
import { StopwatchReading } from "./StopwatchReading";
import { VouchAnswer } from "./VouchAnswer";

const catchUpMilliseconds = 1_000;
const catchUpStepMilliseconds = 20;
const sidecarLeaseCacheMilliseconds = 1_000;
const refusalCacheMilliseconds = 250;
const refreshAheadMilliseconds = 1_500;
const maximumRoundsWithNewerState = 3;

interface Word {
    kind: "vouched" | "sidecarLease" | "refused";
    revision: bigint;
    sidecarSetNumber: bigint;
    start: StopwatchReading;
    milliseconds: number;
}

/** Creates the authority of a process. */
export function createAuthority(options: AuthorityOptions): Authority {
    const { clock, getRevision, lease, sidecarSet, askSidecars, fetchNewer } = options;
    let seenRevision = 0n;
    let word: Word | undefined;
    let round: Promise<void> | undefined;
    return { isLeaseFresh, hasOwnAuthority, getRevision, addSeenRevision, checkAuthority };

    function isLeaseFresh(): boolean {
        const revision = getRevision();
        return lease.getRemainingMilliseconds() > 0
            && revision >= lease.getRequiredRevision()
            && revision >= seenRevision;
    }

    function hasOwnAuthority(): boolean {
        return isLeaseFresh() || getWord()?.kind === "vouched";
    }

    function addSeenRevision(revision: bigint): void {
        if (revision > seenRevision) {
            seenRevision = revision;
        }
    }

    async function checkAuthority(): Promise<boolean> {
        if (isLeaseFresh()) {
            return true;
        }
        await catchUp();
        if (isLeaseFresh()) {
            return true;
        }
        const current = getWord();
        if (current === undefined) {
            await joinRound();
        }
        else if (isEnding(current)) {
            void joinRound();
        }
        return isLeaseFresh() || isWordGood(getWord());
    }

    /** Waits a short time for a revision that was seen at another process. */
    async function catchUp(): Promise<void> {
        const start = readStopwatch(clock);
        while (getRevision() < seenRevision && getElapsedMilliseconds(clock, start) < catchUpMilliseconds) {
            await clock.sleep(catchUpStepMilliseconds);
        }
    }

    /** Gets what the sidecars last said, while it holds for the state held now. */
    function getWord(): Word | undefined {
        if (word === undefined || word.revision !== getRevision() || word.revision < seenRevision) {
            return undefined;
        }
        if (word.sidecarSetNumber !== sidecarSet.getNumber()) {
            return undefined;
        }
        return getElapsedMilliseconds(clock, word.start) < word.milliseconds ? word : undefined;
    }

    function isEnding(current: Word): boolean {
        return current.kind === "vouched"
            && current.milliseconds - getElapsedMilliseconds(clock, current.start) < refreshAheadMilliseconds;
    }

    /** Asks the sidecars, or joins those who ask already. */
    function joinRound(): Promise<void> {
        round ??= runRounds().finally(() => round = undefined);
        return round;
    }

    /** Asks until the answer holds for the newest state that any sidecar asked has. */
    async function runRounds(): Promise<void> {
        for (let count = 0; count < maximumRoundsWithNewerState; count++) {
            const start = readStopwatch(clock);
            const revision = getRevision();
            const sidecarSetNumber = sidecarSet.getNumber();
            const answer = await askSidecars();
            if (answer.kind !== "newer") {
                word = { ...getWordTerms(answer), revision, sidecarSetNumber, start };
                return;
            }
            addSeenRevision(answer.revision);
            await fetchNewer(answer.instanceId);
        }
        word = {
            kind: "refused",
            milliseconds: refusalCacheMilliseconds,
            revision: getRevision(),
            sidecarSetNumber: sidecarSet.getNumber(),
            start: readStopwatch(clock),
        };
    }
}

/** Gets what an answer allows and for how long. */
function getWordTerms(answer: Exclude<VouchAnswer, { kind: "newer"; }>): Pick<Word, "kind" | "milliseconds"> {
    switch (answer.kind) {
        case "vouched":
            return { kind: "vouched", milliseconds: answer.milliseconds };
        case "sidecarLease":
            return { kind: "sidecarLease", milliseconds: sidecarLeaseCacheMilliseconds };
        case "noMajority":
            return { kind: "refused", milliseconds: refusalCacheMilliseconds };
    }
}

function isWordGood(word: { kind: Word["kind"]; } | undefined): boolean {
    return word?.kind === "vouched" || word?.kind === "sidecarLease";
}
