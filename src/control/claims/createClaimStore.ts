/*
 * Stores claims in maps whose insertion order is the order of their last change, so that the next claim to evict always
 * comes first. The content depends only on the applied commands, so that all control members hold the same claims.
 */
import { create } from "@bufbuild/protobuf";
import { Claim, ClaimBounds, ClaimsSnapshot, ClaimsSnapshotSchema, ClaimState, SeenKeySchema } from "../../protocol";
import { ClaimStore } from "./ClaimStore";
import { defaultClaimBounds } from "./defaultClaimBounds";
import { getClaimId } from "./getClaimId";
import { KeyRecord } from "./KeyRecord";

/** An answered key whose response has been evicted. */
interface SeenKeyEntry {
    workspace: string;
    idempotencyKey: string;
    bodyDigest: Uint8Array;
    timeMilliseconds: number;
}

/** Creates an empty store with the default limits. */
export function createClaimStore(): ClaimStore {
    const claims = new Map<string, Claim>();
    const answeredClaims = new Map<string, Claim>();
    const seenKeys = new Map<string, SeenKeyEntry>();
    const keyCountByWorkspace = new Map<string, number>();
    let limits: ClaimBounds = defaultClaimBounds;
    let timeMilliseconds = 0;
    let answerBytes = 0;
    let openClaims = 0;
    return {
        advanceTime,
        getTimeMilliseconds: () => timeMilliseconds,
        findKey,
        hasCapacity,
        setClaim,
        getClaims: () => claims.values(),
        getLimits: () => limits,
        setLimits,
        getSize: () => ({ keys: claims.size + seenKeys.size, openClaims, answerBytes }),
        takeSnapshot,
        restoreSnapshot,
    };

    function advanceTime(newTimeMilliseconds: number): void {
        timeMilliseconds = Math.max(timeMilliseconds, newTimeMilliseconds);
        evictResponses();
        evictExpiredKeys();
    }

    function findKey(workspace: string, idempotencyKey: string): KeyRecord | undefined {
        const id = getClaimId(workspace, idempotencyKey);
        const claim = claims.get(id);
        if (claim !== undefined) {
            return { kind: "claim", claim };
        }
        const seenKey = seenKeys.get(id);
        return seenKey === undefined ? undefined : { kind: "seen", bodyDigest: seenKey.bodyDigest };
    }

    function hasCapacity(workspace: string): boolean {
        const workspaceKeys = keyCountByWorkspace.get(workspace) ?? 0;
        return claims.size + seenKeys.size < limits.maximumKeys && workspaceKeys < limits.maximumKeysPerWorkspace;
    }

    function setClaim(claim: Claim): void {
        const id = getClaimId(claim.workspace, claim.idempotencyKey);
        removeClaim(id);
        addClaim(id, claim);
        evictResponses();
    }

    function setLimits(newLimits: ClaimBounds): void {
        limits = newLimits;
        evictResponses();
        evictExpiredKeys();
    }

    function addClaim(id: string, claim: Claim): void {
        claims.set(id, claim);
        adjustWorkspaceKeyCount(claim.workspace, 1);
        if (claim.state === ClaimState.OPEN) {
            openClaims++;
        }
        if (claim.state === ClaimState.ANSWERED) {
            answeredClaims.set(id, claim);
            answerBytes += getResponseBytes(claim);
        }
    }

    function removeClaim(id: string): void {
        const claim = claims.get(id);
        if (claim === undefined) {
            return;
        }
        claims.delete(id);
        adjustWorkspaceKeyCount(claim.workspace, -1);
        if (claim.state === ClaimState.OPEN) {
            openClaims--;
        }
        if (answeredClaims.delete(id)) {
            answerBytes -= getResponseBytes(claim);
        }
    }

    /** Evicts the oldest stored responses that are past their retention or the bytes allowed; their keys stay. */
    function evictResponses(): void {
        const cutoffMilliseconds = timeMilliseconds - Number(limits.answerRetentionMilliseconds);
        for (const [id, claim] of answeredClaims) {
            const isExpired = Number(claim.timeMilliseconds) < cutoffMilliseconds;
            if (!isExpired && answerBytes <= Number(limits.maximumAnswerBytes)) {
                return;
            }
            removeClaim(id);
            addSeenKey(id, {
                workspace: claim.workspace,
                idempotencyKey: claim.idempotencyKey,
                bodyDigest: claim.bodyDigest,
                timeMilliseconds: Number(claim.timeMilliseconds),
            });
        }
    }

    /** Evicts the keys that are past their retention. */
    function evictExpiredKeys(): void {
        const cutoffMilliseconds = timeMilliseconds - Number(limits.keyRetentionMilliseconds);
        for (const [id, claim] of claims) {
            if (Number(claim.timeMilliseconds) >= cutoffMilliseconds) {
                break;
            }
            removeClaim(id);
        }
        for (const [id, seenKey] of seenKeys) {
            if (seenKey.timeMilliseconds >= cutoffMilliseconds) {
                break;
            }
            seenKeys.delete(id);
            adjustWorkspaceKeyCount(seenKey.workspace, -1);
        }
    }

    function addSeenKey(id: string, seenKey: SeenKeyEntry): void {
        seenKeys.set(id, seenKey);
        adjustWorkspaceKeyCount(seenKey.workspace, 1);
    }

    function adjustWorkspaceKeyCount(workspace: string, amount: number): void {
        const keys = (keyCountByWorkspace.get(workspace) ?? 0) + amount;
        if (keys === 0) {
            keyCountByWorkspace.delete(workspace);
            return;
        }
        keyCountByWorkspace.set(workspace, keys);
    }

    function takeSnapshot(): ClaimsSnapshot {
        return create(ClaimsSnapshotSchema, {
            timeMilliseconds: BigInt(timeMilliseconds),
            bounds: limits,
            claims: [...claims.values()],
            seenKeys: [...seenKeys.values()].map(seenKey =>
                create(SeenKeySchema, { ...seenKey, timeMilliseconds: BigInt(seenKey.timeMilliseconds) })
            ),
        });
    }

    function restoreSnapshot(snapshot: ClaimsSnapshot): void {
        [claims, answeredClaims, seenKeys, keyCountByWorkspace].forEach(map => map.clear());
        answerBytes = 0;
        openClaims = 0;
        timeMilliseconds = Number(snapshot.timeMilliseconds);
        limits = snapshot.bounds ?? defaultClaimBounds;
        for (const claim of snapshot.claims) {
            addClaim(getClaimId(claim.workspace, claim.idempotencyKey), claim);
        }
        for (const { workspace, idempotencyKey, bodyDigest, timeMilliseconds: time } of snapshot.seenKeys) {
            const id = getClaimId(workspace, idempotencyKey);
            addSeenKey(id, { workspace, idempotencyKey, bodyDigest, timeMilliseconds: Number(time) });
        }
    }
}

/** Gets the size of a claim's stored response, in bytes. */
function getResponseBytes(claim: Claim): number {
    return (claim.answer?.body.length ?? 0) + (claim.answer?.headersJson.length ?? 0);
}
