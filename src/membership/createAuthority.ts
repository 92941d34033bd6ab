/*
 * Whether this process may act on the configuration that it holds: by its lease; without one by the word of a majority
 * of the region's sidecars, none of which holds a newer revision or a lease; or by the lease of the sidecar that it
 * dispatches to, which decides for itself. One round of asking serves all requests for as long as the word holds.
 */
import { Authority } from "./Authority";
import { AuthorityOptions } from "./AuthorityOptions";
import { ClockReading } from "./ClockReading";
import { getElapsedMilliseconds } from "./getElapsedMilliseconds";
import { PeerConfirmationResult } from "./PeerConfirmationResult";
import { readClocks } from "./readClocks";

const catchUpTimeoutMilliseconds = 1_000;
const catchUpPollMilliseconds = 20;
const sidecarLeaseCacheMilliseconds = 1_000;
const refusalCacheMilliseconds = 250;
const refreshBeforeExpiryMilliseconds = 1_500;
const maximumConfirmationRounds = 3;

interface CachedDecision {
    kind: "vouched" | "sidecarLease" | "refused";
    revision: bigint;
    sidecarSetNumber: bigint;
    start: ClockReading;
    milliseconds: number;
}

/** Creates the authority of a process. */
export function createAuthority(options: AuthorityOptions): Authority {
    const { clock, getRevision, lease, sidecarSet, runConfirmationRound, fetchNewerState } = options;
    let seenRevision = 0n;
    let cachedDecision: CachedDecision | undefined;
    let currentRound: Promise<void> | undefined;
    return { isLeaseFresh, hasOwnAuthority, getRevision, addSeenRevision, checkAuthority };

    function isLeaseFresh(): boolean {
        const revision = getRevision();
        return lease.getRemainingMilliseconds() > 0
            && revision >= lease.getRequiredRevision()
            && revision >= seenRevision;
    }

    function hasOwnAuthority(): boolean {
        return isLeaseFresh() || getCachedDecision()?.kind === "vouched";
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
        await waitForSeenRevision();
        if (isLeaseFresh()) {
            return true;
        }
        const decision = getCachedDecision();
        if (decision === undefined) {
            await joinOrStartRound();
        }
        else if (isExpiringSoon(decision)) {
            void joinOrStartRound();
        }
        return isLeaseFresh() || allowsAdmission(getCachedDecision());
    }

    /** Waits a short time for a revision that was seen at another process. */
    async function waitForSeenRevision(): Promise<void> {
        const start = readClocks(clock);
        while (getRevision() < seenRevision && getElapsedMilliseconds(clock, start) < catchUpTimeoutMilliseconds) {
            await clock.sleep(catchUpPollMilliseconds);
        }
    }

    /** Gets what the sidecars last said, while it holds for the state held now. */
    function getCachedDecision(): CachedDecision | undefined {
        if (
            cachedDecision === undefined || cachedDecision.revision !== getRevision()
            || cachedDecision.revision < seenRevision
        ) {
            return undefined;
        }
        if (cachedDecision.sidecarSetNumber !== sidecarSet.getNumber()) {
            return undefined;
        }
        return getElapsedMilliseconds(clock, cachedDecision.start) < cachedDecision.milliseconds
            ? cachedDecision
            : undefined;
    }

    function isExpiringSoon(decision: CachedDecision): boolean {
        return decision.kind === "vouched"
            && decision.milliseconds - getElapsedMilliseconds(clock, decision.start) < refreshBeforeExpiryMilliseconds;
    }

    /** Asks the sidecars, or joins those who ask already. */
    function joinOrStartRound(): Promise<void> {
        currentRound ??= runRoundsUntilCurrent().finally(() => currentRound = undefined);
        return currentRound;
    }

    /** Asks until the answer holds for the newest state that any sidecar asked has. */
    async function runRoundsUntilCurrent(): Promise<void> {
        for (let count = 0; count < maximumConfirmationRounds; count++) {
            const start = readClocks(clock);
            const revision = getRevision();
            const sidecarSetNumber = sidecarSet.getNumber();
            const result = await runConfirmationRound();
            if (result.kind !== "newer") {
                cachedDecision = { ...getDecisionTerms(result), revision, sidecarSetNumber, start };
                return;
            }
            addSeenRevision(result.revision);
            await fetchNewerState(result.instanceId);
        }
        cachedDecision = {
            kind: "refused",
            milliseconds: refusalCacheMilliseconds,
            revision: getRevision(),
            sidecarSetNumber: sidecarSet.getNumber(),
            start: readClocks(clock),
        };
    }
}

/** Gets what an answer allows and for how long. */
function getDecisionTerms(
    result: Exclude<PeerConfirmationResult, { kind: "newer"; }>,
): Pick<CachedDecision, "kind" | "milliseconds"> {
    switch (result.kind) {
        case "vouched":
            return { kind: "vouched", milliseconds: result.milliseconds };
        case "sidecarLease":
            return { kind: "sidecarLease", milliseconds: sidecarLeaseCacheMilliseconds };
        case "noMajority":
            return { kind: "refused", milliseconds: refusalCacheMilliseconds };
    }
}

function allowsAdmission(decision: { kind: CachedDecision["kind"]; } | undefined): boolean {
    return decision?.kind === "vouched" || decision?.kind === "sidecarLease";
}
