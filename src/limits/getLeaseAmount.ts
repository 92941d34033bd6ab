/*
 * The amount of one lease.
 */
import { getRefillMilliseconds } from "./getRefillMilliseconds";
import { QuotaKind } from "./QuotaKind";

/** The time in which the amount of one lease refills. */
const leaseRefillMilliseconds = 250;

/**
 * Gets the amount that a process leases of a limit at a time: for a rate what refills in a quarter of a second, and at
 * least 1.
 * @param kind - What the limit counts.
 * @param limit - The limit's value in the settings.
 */
export function getLeaseAmount(kind: QuotaKind, limit: number): number {
    if (kind === QuotaKind.ConcurrentRequests) {
        return 1;
    }
    return Math.max(1, Math.floor(leaseRefillMilliseconds / getRefillMilliseconds(kind, limit, 1)));
}
