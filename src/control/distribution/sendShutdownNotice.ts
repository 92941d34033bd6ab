/*
 * The last message of a stopping control member. It reports to the next leader the processes whose leases may still run, so
 * that the leader need not wait until any unreported lease must be over.
 */
import { create } from "@bufbuild/protobuf";
import { ShareStateRequestSchema, ShareStateResponse } from "../../protocol";
import { CallOutcome } from "./CallOutcome";
import { getHolderKey } from "./getHolderKey";
import { ShutdownNoticeOptions } from "./ShutdownNoticeOptions";

const timeoutMilliseconds = 3_000;
const retryIntervalMilliseconds = 100;
/** Exceeds the numbers of all messages that the member has sent before, so that the notice counts as the newest. */
const shutdownNoticeNumber = 2n ** 62n;

/** Sends the notice to all members until the leader has it, no other member is running, or a timeout has passed. */
export async function sendShutdownNotice(options: ShutdownNoticeOptions): Promise<void> {
    const { identity, addresses, peers, leaseHolders, revision, coversFormerRun, clock } = options;
    const endsAt = clock.getMonotonicMilliseconds() + timeoutMilliseconds;
    const request = create(ShareStateRequestSchema, {
        ...identity,
        number: shutdownNoticeNumber,
        complete: true,
        holders: leaseHolders.getAll().map(holder => leaseHolders.createMessage(getHolderKey(holder))),
        configurationRevision: revision,
        stopped: true,
        coversFormerRun,
    });
    while (addresses.length > 0 && clock.getMonotonicMilliseconds() < endsAt) {
        const outcomes = await Promise.all(addresses.map(address => peers.shareState(address, request)));
        const hasReachedLeader = outcomes.some(outcome => outcome.kind === "answered" && outcome.response.term > 0n);
        const isLastRunningMember = outcomes.every(outcome => outcome.kind === "notSent" || isStopping(outcome));
        if (hasReachedLeader || isLastRunningMember) {
            return;
        }
        await clock.sleep(retryIntervalMilliseconds);
    }
}

/** Tells whether a member has refused the notice since it is stopping too, so that it will not lead. */
function isStopping(outcome: CallOutcome<ShareStateResponse>): boolean {
    return outcome.kind === "answered" && !outcome.response.accepted;
}
