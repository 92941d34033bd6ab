/*
 * What one session is sent of configuration, set of sidecars and leases.
 */
import { HostedSession } from "./HostedSession";

/** Sends a session what it lacks. */
export interface SessionFeed {
    /** Sends the changes that the process does not hold, or a snapshot. */
    sendConfiguration(session: HostedSession): void;
    /** Sends the set of sidecars, where the process holds an older one. */
    sendSidecarSet(session: HostedSession): void;
    /** Answers a lease request that waits, where a lease may be given. */
    grantPendingLease(session: HostedSession): void;
    /** Answers a lease request that waits by none. */
    refusePendingLease(session: HostedSession): void;
}
