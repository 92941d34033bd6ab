/*
 * Keeps the promises that a sidecar made to processes whose revision it confirmed. A configuration change is in force
 * only once a majority of sidecars has acknowledged it. A sidecar that delays its acknowledgement therefore keeps a
 * change from coming into force while another process still relies on the sidecar's confirmation of the older revision.
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
 * @param clock - The process's clock.
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
