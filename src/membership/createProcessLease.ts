/*
 * Implements the lease of one process. Its duration is counted from when the process sent the request, so that a
 * delayed grant is shorter and no lease ends later than the leader assumes.
 */
import { LeaseGrant } from "../protocol";
import { Clock } from "../runtime";
import { ClockReading } from "./ClockReading";
import { getElapsedMilliseconds } from "./getElapsedMilliseconds";
import { ProcessLease } from "./ProcessLease";

/**
 * Creates a lease that has not been granted yet.
 * @param clock - The process's clock.
 */
export function createProcessLease(clock: Clock): ProcessLease {
    let requestedAt: ClockReading | undefined;
    let durationMilliseconds = 0;
    let requiredRevision = 0n;
    return {
        addGrant,
        getRemainingMilliseconds,
        getRequiredRevision: () => requiredRevision,
        hasBeenGranted: () => requestedAt !== undefined,
    };

    function addGrant(grant: LeaseGrant, sentAt: ClockReading): void {
        if (grant.configurationRevision > requiredRevision) {
            requiredRevision = grant.configurationRevision;
        }
        const remaining = grant.remainingMilliseconds - getElapsedMilliseconds(clock, sentAt);
        if (remaining > getRemainingMilliseconds()) {
            requestedAt = sentAt;
            durationMilliseconds = grant.remainingMilliseconds;
        }
    }

    function getRemainingMilliseconds(): number {
        if (requestedAt === undefined) {
            return 0;
        }
        return Math.max(0, durationMilliseconds - getElapsedMilliseconds(clock, requestedAt));
    }
}
