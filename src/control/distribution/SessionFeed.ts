/*
 * The sending of configuration, sidecar set and leases to a session.
 */
import { HostedSession } from "./HostedSession";

/** Queues for a session the configuration, sidecar set and leases that its process lacks. */
export interface SessionFeed {
    /** Sends the configuration changes that the process lacks, or a snapshot if they are no longer kept. */
    sendConfiguration(session: HostedSession): void;
    /** Sends the sidecar set if the process holds an older one. */
    sendSidecarSet(session: HostedSession): void;
    /** Grants the pending lease request, if there is one and a lease may be granted. */
    grantPendingLease(session: HostedSession): void;
    /** Refuses the pending lease request, if there is one. */
    refusePendingLease(session: HostedSession): void;
}
