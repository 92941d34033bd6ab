/*
 * One round of asking the region's sidecars to vouch. Sidecars are asked in a random order, some at a time, until a
 * majority of the set has vouched or none is left to ask. Those outside the set don't count, but may have a lease.
 */
import { create } from "@bufbuild/protobuf";
import { ProcessRole, VouchRequestSchema, VouchResponse } from "../protocol";
import { PeerConfirmationResult } from "./PeerConfirmationResult";
import { PeerConfirmationRoundOptions } from "./PeerConfirmationRoundOptions";
import { shuffle } from "./shuffle";

const maximumConcurrentRequests = 64;

/** Asks the sidecars once. */
export async function runPeerConfirmationRound(options: PeerConfirmationRoundOptions): Promise<PeerConfirmationResult> {
    const { revision, sidecarSet, directory, peers, random } = options;
    const setInstanceIds = sidecarSet.getInstanceIds();
    const majority = Math.floor(setInstanceIds.size / 2) + 1;
    const sidecars = directory.getRecords().filter(record => record.role === ProcessRole.COMPANION);
    const instanceIds = shuffle(
        [...new Set([...setInstanceIds, ...sidecars.map(record => record.instanceId)])],
        random,
    );
    const request = create(VouchRequestSchema, { configurationRevision: revision });
    let confirmationCount = 0;
    let requestedCount = 0;
    let promiseMilliseconds = Number.POSITIVE_INFINITY;
    let result: PeerConfirmationResult | undefined;
    const workerCount = Math.min(maximumConcurrentRequests, instanceIds.length);
    await Promise.all(Array.from({ length: workerCount }, requestUntilDecided));
    return result ?? { kind: "noMajority" };

    /** Asks one sidecar after the other, until the round is decided. */
    async function requestUntilDecided(): Promise<void> {
        while (result === undefined && requestedCount < instanceIds.length) {
            const instanceId = instanceIds[requestedCount]!;
            requestedCount++;
            const address = directory.getRecord(instanceId)?.address;
            const response = address === undefined ? undefined : await peers.requestConfirmation(address, request);
            if (response?.instanceId === instanceId) {
                result ??= evaluateResponse(response);
            }
        }
    }

    /** Counts a response; returns what it decides. */
    function evaluateResponse(response: VouchResponse): PeerConfirmationResult | undefined {
        const { configurationRevision, companionSetNumber: sidecarSetNumber, instanceId } = response;
        if (configurationRevision > revision || sidecarSetNumber > sidecarSet.getNumber()) {
            return { kind: "newer", revision: configurationRevision, sidecarSetNumber, instanceId };
        }
        if (response.leaseFresh) {
            return { kind: "sidecarLease" };
        }
        if (!setInstanceIds.has(instanceId) || !response.counts || response.promiseMilliseconds === 0) {
            return undefined;
        }
        confirmationCount++;
        promiseMilliseconds = Math.min(promiseMilliseconds, response.promiseMilliseconds);
        return confirmationCount >= majority ? { kind: "vouched", milliseconds: promiseMilliseconds } : undefined;
    }
}
