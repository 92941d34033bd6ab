/*
 * One round of asking the region's sidecars to vouch. Sidecars are asked in a random order, some at a time, until a
 * majority of the set has vouched or none is left to ask. Those outside the set don't count, but may have a lease.
 */
import { create } from "@bufbuild/protobuf";
import { ProcessRole, VouchRequestSchema, VouchResponse } from "../protocol";
import { shuffle } from "./shuffle";
import { VouchAnswer } from "./VouchAnswer";
import { VouchRoundOptions } from "./VouchRoundOptions";

const sidecarsAskedAtOnce = 64;

/** Asks the sidecars once. */
export async function runVouchRound(options: VouchRoundOptions): Promise<VouchAnswer> {
    const { revision, sidecarSet, directory, peers, random } = options;
    const counted = sidecarSet.getInstanceIds();
    const majority = Math.floor(counted.size / 2) + 1;
    const sidecars = directory.getRecords().filter(record => record.role === ProcessRole.COMPANION);
    const instanceIds = shuffle([...new Set([...counted, ...sidecars.map(record => record.instanceId)])], random);
    const request = create(VouchRequestSchema, { configurationRevision: revision });
    let vouchCount = 0;
    let askedCount = 0;
    let promiseMilliseconds = Number.POSITIVE_INFINITY;
    let decision: VouchAnswer | undefined;
    const workerCount = Math.min(sidecarsAskedAtOnce, instanceIds.length);
    await Promise.all(Array.from({ length: workerCount }, ask));
    return decision ?? { kind: "noMajority" };

    /** Asks one sidecar after the other, until the round is decided. */
    async function ask(): Promise<void> {
        while (decision === undefined && askedCount < instanceIds.length) {
            const instanceId = instanceIds[askedCount]!;
            askedCount++;
            const address = directory.getRecord(instanceId)?.address;
            const response = address === undefined ? undefined : await peers.vouch(address, request);
            if (response?.instanceId === instanceId) {
                decision ??= takeResponse(response);
            }
        }
    }

    /** Counts a response; returns what it decides. */
    function takeResponse(response: VouchResponse): VouchAnswer | undefined {
        const { configurationRevision, companionSetNumber: sidecarSetNumber, instanceId } = response;
        if (configurationRevision > revision || sidecarSetNumber > sidecarSet.getNumber()) {
            return { kind: "newer", revision: configurationRevision, sidecarSetNumber, instanceId };
        }
        if (response.leaseFresh) {
            return { kind: "sidecarLease" };
        }
        if (!counted.has(instanceId) || !response.counts || response.promiseMilliseconds === 0) {
            return undefined;
        }
        vouchCount++;
        promiseMilliseconds = Math.min(promiseMilliseconds, response.promiseMilliseconds);
        return vouchCount >= majority ? { kind: "vouched", milliseconds: promiseMilliseconds } : undefined;
    }
}
