/*
 * The size of leases.
 */
import { getRefillMilliseconds } from "./getRefillMilliseconds";
import { QuotaKind } from "./QuotaKind";

const leaseRefillMilliseconds = 250;

/**
 * Gets how much a process leases of a limit at a time: what refills in a quarter of a second, and one at least.
 * @param kind - What the limit is on.
 * @param limit - The limit as settings have it.
 */
export function getLeaseAmount(kind: QuotaKind, limit: number): number {
    if (kind === QuotaKind.ConcurrentRequests) {
        return 1;
    }
    return Math.max(1, Math.floor(leaseRefillMilliseconds / getRefillMilliseconds(kind, limit, 1)));
}
