/*
 * Runs one round of asking the region's sidecars to confirm a configuration revision. Sidecars are asked in a random
 * order, a limited number at a time, until a majority of the set has confirmed it, one responds with a lease or newer
 * state, or none is left to ask. Sidecars outside the set don't count towards the majority, but may have a lease.
 */
import { create } from "@bufbuild/protobuf";
import { ProcessRole, VouchRequestSchema, VouchResponse } from "../protocol";
import { PeerConfirmationResult } from "./PeerConfirmationResult";
import { PeerConfirmationRoundOptions } from "./PeerConfirmationRoundOptions";
import { shuffle } from "./shuffle";

const maximumConcurrentRequests = 64;

/**
 * Asks the sidecars once.
 * @param options - What the round depends on.
 */
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

    /** Asks one sidecar after the other until the round has a result. */
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

    /** Evaluates a response; returns the result of the round if the response decides it. */
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
        return confirmationCount >= majority
            ? { kind: "confirmed", validMilliseconds: promiseMilliseconds }
            : undefined;
    }
}
