/*
 * The sending of configuration, sidecar set and leases to a session. The configuration is always sent before a lease, so
 * that a process that gets a lease already holds the revision that the lease requires.
 */
import { create } from "@bufbuild/protobuf";
import { LeaseGrantSchema } from "../../protocol";
import { createSessionEvent } from "./createSessionEvent";
import { HostedSession } from "./HostedSession";
import { SessionFeed } from "./SessionFeed";
import { SessionHubOptions } from "./SessionHubOptions";

/** Covers clocks of this member and the process that run at different rates. */
const clockDriftFactor = 1.05;

/** Creates the feed of one control member's sessions. */
export function createSessionFeed(options: SessionHubOptions): SessionFeed {
    const { configuration, sidecarSet, memberLease, clock } = options;
    return { sendConfiguration, sendSidecarSet, grantPendingLease, refusePendingLease };

    function sendConfiguration(session: HostedSession): void {
        const revision = configuration.getRevision();
        if (revision <= session.sentRevision) {
            return;
        }
        const deltas = configuration.getDeltasSince(session.sentRevision);
        if (deltas === undefined) {
            const value = configuration.getSnapshot();
            session.outgoing.add(createSessionEvent({ case: "configurationSnapshot", value }));
        }
        else {
            deltas.forEach(value => session.outgoing.add(createSessionEvent({ case: "configurationDelta", value })));
        }
        session.sentRevision = revision;
    }

    function sendSidecarSet(session: HostedSession): void {
        const value = sidecarSet.getSet();
        if (session.sentSidecarSetNumber !== undefined && value.number > session.sentSidecarSetNumber) {
            session.outgoing.add(createSessionEvent({ case: "companionSet", value }));
            session.sentSidecarSetNumber = value.number;
        }
    }

    /** Grants the pending lease request, if there is one and a lease may be granted. */
    function grantPendingLease(session: HostedSession): void {
        const { holder, pendingLeaseRequestNumber } = session;
        if (pendingLeaseRequestNumber === undefined || !holder.isRegistered && !options.isLeader()) {
            return;
        }
        const remainingMilliseconds = memberLease.getRemainingMilliseconds();
        if (remainingMilliseconds === 0) {
            return;
        }
        sendConfiguration(session);
        session.pendingLeaseRequestNumber = undefined;
        const expiresAt = clock.getMonotonicMilliseconds() + remainingMilliseconds * clockDriftFactor;
        holder.leaseExpiresAtMilliseconds = Math.max(holder.leaseExpiresAtMilliseconds, expiresAt);
        sendGrant(session, pendingLeaseRequestNumber, remainingMilliseconds);
    }

    /** Refuses the pending lease request, so that the process sees that this member is alive. */
    function refusePendingLease(session: HostedSession): void {
        if (session.pendingLeaseRequestNumber !== undefined) {
            sendGrant(session, session.pendingLeaseRequestNumber, 0);
            session.pendingLeaseRequestNumber = undefined;
        }
    }

    function sendGrant(session: HostedSession, requestNumber: bigint, remainingMilliseconds: number): void {
        const value = create(LeaseGrantSchema, {
            remainingMilliseconds,
            term: memberLease.getTerm(),
            configurationRevision: configuration.getRevision(),
            requestNumber,
        });
        session.outgoing.add(createSessionEvent({ case: "lease", value }));
    }
}
