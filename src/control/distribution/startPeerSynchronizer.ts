/*
 * The synchronization of state with one other control member, in a task of its own. Changed records are sent to every
 * member; acknowledgements and lease holders only to the leader, whose response grants this member its own lease. Digests of
 * the directory, sent when there are no changes, make up for records that were lost.
 */
import { create } from "@bufbuild/protobuf";
import { readClocks } from "../../membership";
import { ProcessRecord, ShareStateRequest, ShareStateRequestSchema, ShareStateResponse } from "../../protocol";
import { createWakeup } from "../../runtime";
import { getHolderKey } from "./getHolderKey";
import { leaseTimes } from "./leaseTimes";
import { PeerSynchronizer } from "./PeerSynchronizer";
import { PeerSynchronizerOptions } from "./PeerSynchronizerOptions";

const batchDelayMilliseconds = 25;
const retryIntervalMilliseconds = 250;

/** Starts the synchronization with one other member. */
export function startPeerSynchronizer(options: PeerSynchronizerOptions): PeerSynchronizer {
    const { identity, address, peers, directory, leaseHolders, isLeader, clock } = options;
    const wakeup = createWakeup(clock);
    const stopped = new AbortController();
    const changedHolders = new Set<string>();
    const changedRecords = new Set<string>();
    let messageNumber = 0n;
    let needsComplete = true;
    let wasLeaderAtLastMessage = false;
    const removeListener = leaseHolders.addListener(handleHolderChange);
    const running = run();
    return { queueRecord, wake: wakeup.wake, stop };

    function queueRecord(instanceId: string): void {
        changedRecords.add(instanceId);
        wakeup.wake();
    }

    function handleHolderChange(key: string): void {
        changedHolders.add(key);
        if (isLeader()) {
            wakeup.wake();
        }
    }

    async function run(): Promise<void> {
        let isIdle = true;
        while (!stopped.signal.aborted) {
            const hasSucceeded = await sendChanges(isIdle);
            if (!hasSucceeded) {
                await clock.sleep(retryIntervalMilliseconds, stopped.signal);
                continue;
            }
            isIdle = !await wakeup.wait(getWaitMilliseconds());
            if (!isIdle) {
                await clock.sleep(batchDelayMilliseconds, stopped.signal);
            }
        }
    }

    /** Gets how long to wait for changes: shorter while this member needs a lease from the leader. */
    function getWaitMilliseconds(): number {
        const isWaitingForLease = isLeader() && (needsComplete || options.getLeaseMilliseconds() === 0);
        return isWaitingForLease ? retryIntervalMilliseconds : leaseTimes.memberRenewalIntervalMilliseconds;
    }

    /**
     * Sends the changes, and queues them again if the other member did not accept them.
     * @returns Whether the other member accepted them.
     */
    async function sendChanges(withDigests: boolean): Promise<boolean> {
        const isToLeader = isLeader();
        needsComplete ||= isToLeader && !wasLeaderAtLastMessage;
        wasLeaderAtLastMessage = isToLeader;
        const request = createRequest(isToLeader, withDigests);
        const holderKeys = request.holders.map(getHolderKey);
        const recordIds = request.records.map(record => record.instanceId);
        const sentAt = readClocks(clock);
        const outcome = await peers.shareState(address, request);
        if (outcome.kind !== "answered" || !outcome.response.accepted) {
            holderKeys.forEach(key => changedHolders.add(key));
            recordIds.forEach(instanceId => changedRecords.add(instanceId));
            return false;
        }
        options.handleRecords(outcome.response.records);
        needsComplete = isCompleteMessageNeeded(outcome.response, request, isToLeader);
        if (outcome.response.leaseMilliseconds > 0) {
            markRegistered(holderKeys);
            options.handleLease(outcome.response, sentAt);
        }
        return true;
    }

    /** Tells whether the next message to the leader must list all lease holders. */
    function isCompleteMessageNeeded(
        response: ShareStateResponse,
        request: ShareStateRequest,
        isToLeader: boolean,
    ): boolean {
        if (response.needsComplete) {
            return true;
        }
        return needsComplete && !(isToLeader && request.complete);
    }

    function createRequest(isToLeader: boolean, withDigests: boolean): ShareStateRequest {
        messageNumber++;
        const complete = isToLeader && needsComplete;
        const holderKeys = complete ? leaseHolders.getAll().map(getHolderKey) : [...changedHolders];
        const holders = isToLeader ? holderKeys.map(leaseHolders.createMessage) : [];
        changedHolders.clear();
        const sessionIds = complete ? holders.map(holder => holder.instanceId) : [];
        const records = getRecords(new Set([...changedRecords, ...sessionIds]));
        changedRecords.clear();
        return create(ShareStateRequestSchema, {
            ...identity,
            number: messageNumber,
            complete,
            records,
            holders,
            configurationRevision: options.getRevision(),
            stopped: options.hasStopped(),
            coversFormerRun: options.coversFormerRun(),
            digests: withDigests ? [...directory.getDigests()] : [],
        });
    }

    function getRecords(instanceIds: ReadonlySet<string>): ProcessRecord[] {
        return [...instanceIds].flatMap(instanceId => directory.getRecord(instanceId) ?? []);
    }

    /** Marks the processes that the leader has accepted a report of, so that they may be granted leases. */
    function markRegistered(keys: readonly string[]): void {
        const registeredKeys = new Set(keys);
        for (const holder of leaseHolders.getAll()) {
            holder.isRegistered ||= registeredKeys.has(getHolderKey(holder));
        }
    }

    async function stop(): Promise<void> {
        stopped.abort();
        wakeup.wake();
        removeListener();
        await running;
    }
}
