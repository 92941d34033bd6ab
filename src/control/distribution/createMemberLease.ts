/*
 * The lease that a control member has from the leader. The leases that the member grants to processes end within it. The
 * leader itself needs none: it grants leases for as long as its leadership is assured.
 */
import { ClockReading, getElapsedMilliseconds } from "../../membership";
import { ShareStateResponse } from "../../protocol";
import { Clock } from "../../runtime";
import { Leadership } from "./Leadership";
import { leaseTimes } from "./leaseTimes";
import { MemberLease } from "./MemberLease";

/**
 * Creates the lease of one control member, which has none at first.
 * @param clock - The clock that times are taken from.
 * @param leadership - This member's leadership.
 * @param getRevision - Gets the configuration revision that this member has applied.
 */
export function createMemberLease(clock: Clock, leadership: Leadership, getRevision: () => bigint): MemberLease {
    let requestedAt: ClockReading | undefined;
    let durationMilliseconds = 0;
    let term = 0n;
    let requiredRevision = 0n;
    let hasEnded = false;
    return { applyResponse, getRemainingMilliseconds, getTerm, end: () => hasEnded = true };

    function applyResponse(response: ShareStateResponse, sentAt: ClockReading): void {
        if (response.leaseMilliseconds === 0 || response.term < term) {
            return;
        }
        term = response.term;
        requestedAt = sentAt;
        durationMilliseconds = response.leaseMilliseconds;
        if (response.configurationRevision > requiredRevision) {
            requiredRevision = response.configurationRevision;
        }
    }

    function getRemainingMilliseconds(): number {
        if (hasEnded) {
            return 0;
        }
        if (leadership.isAssured()) {
            return leaseTimes.leaseMilliseconds;
        }
        if (requestedAt === undefined || getRevision() < requiredRevision) {
            return 0;
        }
        return Math.max(0, Math.floor(durationMilliseconds - getElapsedMilliseconds(clock, requestedAt)));
    }

    function getTerm(): bigint {
        return leadership.isAssured() ? leadership.getTerm() : term;
    }
}
