/*
 * Decides whether this process may act on its copy of the configuration. It may do so under its own lease; without one,
 * when a majority of the region's sidecars confirms its revision and no sidecar that responded has a newer revision or
 * a lease; or under the lease of the sidecar that it dispatches to, which decides for itself. One confirmation round
 * serves all requests for as long as its result is valid.
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

/** The outcome of the last confirmation round, and the local state for which it was made. */
interface CachedDecision {
    kind: "confirmed" | "sidecarLease" | "refused";
    revision: bigint;
    sidecarSetNumber: bigint;
    start: ClockReading;
    validMilliseconds: number;
}

/**
 * Creates the authority of a process.
 * @param options - What the authority depends on.
 */
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
        return isLeaseFresh() || getCachedDecision()?.kind === "confirmed";
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

    /** Waits a short time for the newest revision that was seen at another process. */
    async function waitForSeenRevision(): Promise<void> {
        const start = readClocks(clock);
        while (getRevision() < seenRevision && getElapsedMilliseconds(clock, start) < catchUpTimeoutMilliseconds) {
            await clock.sleep(catchUpPollMilliseconds);
        }
    }

    /** Gets the last decision, if it has not expired and was made for the current revision and sidecar set. */
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
        return getElapsedMilliseconds(clock, cachedDecision.start) < cachedDecision.validMilliseconds
            ? cachedDecision
            : undefined;
    }

    function isExpiringSoon(decision: CachedDecision): boolean {
        return decision.kind === "confirmed"
            && decision.validMilliseconds - getElapsedMilliseconds(clock, decision.start)
                < refreshBeforeExpiryMilliseconds;
    }

    /** Starts confirmation rounds, or joins those that are running. */
    function joinOrStartRound(): Promise<void> {
        currentRound ??= runRoundsUntilCurrent().finally(() => currentRound = undefined);
        return currentRound;
    }

    /**
     * Runs confirmation rounds until one finds no newer state; refuses work for a short time if every round found some.
     */
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
            validMilliseconds: refusalCacheMilliseconds,
            revision: getRevision(),
            sidecarSetNumber: sidecarSet.getNumber(),
            start: readClocks(clock),
        };
    }
}

/** Converts the result of a round into a decision and how long it is valid. */
function getDecisionTerms(
    result: Exclude<PeerConfirmationResult, { kind: "newer"; }>,
): Pick<CachedDecision, "kind" | "validMilliseconds"> {
    switch (result.kind) {
        case "confirmed":
            return { kind: "confirmed", validMilliseconds: result.validMilliseconds };
        case "sidecarLease":
            return { kind: "sidecarLease", validMilliseconds: sidecarLeaseCacheMilliseconds };
        case "noMajority":
            return { kind: "refused", validMilliseconds: refusalCacheMilliseconds };
    }
}

function allowsAdmission(decision: { kind: CachedDecision["kind"]; } | undefined): boolean {
    return decision?.kind === "confirmed" || decision?.kind === "sidecarLease";
}
