/*
 * The limits of the configuration tree at an entry, leased over its control session.
 */
import { createQuotaLeaseClient, createRequestLimiter, RequestLimiter } from "../limits";
import { ControlSession } from "../membership";
import { Clock, Stoppable } from "../runtime";

/** An entry's limiter, whose leases end with it. */
interface EntryLimits extends Stoppable {
    limiter: RequestLimiter;
}

/**
 * Creates the limits of an entry.
 * @param session - The entry's session with the control members.
 * @param clock - The clock by which leases expire.
 */
export function createEntryLimits(session: ControlSession, clock: Clock): EntryLimits {
    const leaseClient = createQuotaLeaseClient({
        clock,
        requestQuota: (name, inUse, desired) => session.requestQuota(name, BigInt(inUse), BigInt(desired)),
    });
    session.addListener({
        handleQuotaGrant: grant => leaseClient.addGrant(grant.level, Number(grant.granted), grant.validMilliseconds),
    });
    return { limiter: createRequestLimiter(leaseClient), stop: leaseClient.stop };
}
