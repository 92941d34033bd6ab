/*
 * What one session is sent of configuration, set of sidecars and leases, always in this order, so that a process that
 * takes in a lease holds what the lease asks for already.
 */
import { create } from "@bufbuild/protobuf";
import { LeaseGrantSchema } from "../../protocol";
import { createSessionEvent } from "./createSessionEvent";
import { HostedSession } from "./HostedSession";
import { SessionFeed } from "./SessionFeed";
import { SessionHubOptions } from "./SessionHubOptions";

const clockDriftFactor = 1.05;

/** Creates the feed of a member's sessions. */
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

    /** Answers a lease request that waits, where a lease may be given. */
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

    /** Answers a lease request that waits by none, so that the process knows this member alive. */
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
