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

const clockRateMargin = 1.05;

/** Creates the feed of a member's sessions. */
export function createSessionFeed(options: SessionHubOptions): SessionFeed {
    const { configuration, sidecarSet, memberLease, clock } = options;
    return { sendConfiguration, sendSidecarSet, answerLease, refuseLease };

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
        if (session.sentSetNumber !== undefined && value.number > session.sentSetNumber) {
            session.outgoing.add(createSessionEvent({ case: "companionSet", value }));
            session.sentSetNumber = value.number;
        }
    }

    /** Answers a lease request that waits, where a lease may be given. */
    function answerLease(session: HostedSession): void {
        const { held, waitingRequest } = session;
        if (waitingRequest === undefined || !held.isRegistered && !options.isLeader()) {
            return;
        }
        const remaining = memberLease.getRemainingMilliseconds();
        if (remaining === 0) {
            return;
        }
        sendConfiguration(session);
        session.waitingRequest = undefined;
        const endsAt = clock.getMonotonicMilliseconds() + remaining * clockRateMargin;
        held.endsAtMilliseconds = Math.max(held.endsAtMilliseconds, endsAt);
        sendGrant(session, waitingRequest, remaining);
    }

    /** Answers a lease request that waits by none, so that the process knows this member alive. */
    function refuseLease(session: HostedSession): void {
        if (session.waitingRequest !== undefined) {
            sendGrant(session, session.waitingRequest, 0);
            session.waitingRequest = undefined;
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
