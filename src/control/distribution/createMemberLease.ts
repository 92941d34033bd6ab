/*
 * A control member's own lease from the leader, out of which it gives leases to processes. The leader needs none from
 * others: it gives leases for as long as its leadership is assured and it has settled.
 */
import { getElapsedMilliseconds, StopwatchReading } from "../../membership";
import { ShareStateResponse } from "../../protocol";
import { Clock } from "../../runtime";
import { Leadership } from "./Leadership";
import { leaseTimes } from "./leaseTimes";
import { MemberLease } from "./MemberLease";

/**
 * Creates the lease of one control member.
 * @param clock - The passing of time.
 * @param leadership - Whether this member leads.
 * @param getRevision - Gets the configuration revision applied here.
 */
export function createMemberLease(clock: Clock, leadership: Leadership, getRevision: () => bigint): MemberLease {
    let requestedAt: StopwatchReading | undefined;
    let durationMilliseconds = 0;
    let term = 0n;
    let requiredRevision = 0n;
    let hasEnded = false;
    return { applyResponse, getRemainingMilliseconds, getTerm, end: () => hasEnded = true };

    function applyResponse(response: ShareStateResponse, sentAt: StopwatchReading): void {
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
