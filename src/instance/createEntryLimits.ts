/*
 * Enforces the limits of the configuration tree at an entry process, with quota leases from the control members.
 */
import { createQuotaLeaseClient, createRequestLimiter, RequestLimiter } from "../limits";
import { ControlSession } from "../membership";
import { Clock, Stoppable } from "../runtime";

/** The limiter of an entry process; stopping it stops the renewal of its leases. */
interface EntryLimits extends Stoppable {
    /** Admits requests within the limits. */
    limiter: RequestLimiter;
}

/**
 * Creates the limiter of an entry process.
 * @param session - The entry process's session with the control members.
 * @param clock - The clock by which leases expire.
 */
export function createEntryLimits(session: ControlSession, clock: Clock): EntryLimits {
    const leaseClient = createQuotaLeaseClient({
        clock,
        requestQuota: (formattedName, inFlight, desired) =>
            session.requestQuota(formattedName, BigInt(inFlight), BigInt(desired)),
    });
    session.addListener({
        handleQuotaGrant: grant => leaseClient.addGrant(grant.level, Number(grant.granted), grant.validMilliseconds),
    });
    return { limiter: createRequestLimiter(leaseClient), stop: leaseClient.stop };
}
