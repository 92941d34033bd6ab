/*
 * What a sidecar has promised to processes that it vouched for. A change counts as in force only once a majority of
 * sidecars has acknowledged it, so that holding back acknowledgements keeps it from being so while a process still
 * acts on the sidecar's word.
 */
import { Clock } from "../runtime";
import { peerConfirmationPromiseMilliseconds } from "./peerConfirmationPromiseMilliseconds";
import { PeerConfirmationPromises } from "./PeerConfirmationPromises";

interface PeerConfirmationPromise {
    revision: bigint;
    sidecarSetNumber: bigint;
    expiresAtMilliseconds: number;
}

/**
 * Creates an empty set of promises.
 * @param clock - The passing of time.
 */
export function createPeerConfirmationPromises(clock: Clock): PeerConfirmationPromises {
    let promises: PeerConfirmationPromise[] = [];
    return { add, getDelayMilliseconds };

    function add(revision: bigint, sidecarSetNumber: bigint): number {
        const now = clock.getMonotonicMilliseconds();
        promises = promises.filter(promise =>
            promise.expiresAtMilliseconds > now
            && (promise.revision !== revision || promise.sidecarSetNumber !== sidecarSetNumber)
        );
        promises.push({ revision, sidecarSetNumber, expiresAtMilliseconds: now + peerConfirmationPromiseMilliseconds });
        return peerConfirmationPromiseMilliseconds;
    }

    function getDelayMilliseconds(revision: bigint, sidecarSetNumber: bigint): number {
        const now = clock.getMonotonicMilliseconds();
        const delays = promises
            .filter(promise => promise.revision < revision || promise.sidecarSetNumber < sidecarSetNumber)
            .map(promise => promise.expiresAtMilliseconds - now);
        return Math.max(0, ...delays);
    }
}
