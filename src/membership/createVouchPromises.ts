/*
 * What a sidecar has promised to processes that it vouched for. A change counts as in force only once a majority of
 * sidecars has acknowledged it, so that holding back acknowledgements keeps it from being so while a process still
 * acts on the sidecar's word.
 */
import { Clock } from "../runtime";
import { vouchPromiseMilliseconds } from "./vouchPromiseMilliseconds";
import { VouchPromises } from "./VouchPromises";

interface VouchPromise {
    revision: bigint;
    sidecarSetNumber: bigint;
    endsAt: number;
}

/**
 * Creates an empty set of promises.
 * @param clock - The passing of time.
 */
export function createVouchPromises(clock: Clock): VouchPromises {
    let promises: VouchPromise[] = [];
    return { add, getDelayMilliseconds };

    function add(revision: bigint, sidecarSetNumber: bigint): number {
        const now = clock.getMonotonicMilliseconds();
        promises = promises.filter(promise =>
            promise.endsAt > now
            && (promise.revision !== revision || promise.sidecarSetNumber !== sidecarSetNumber)
        );
        promises.push({ revision, sidecarSetNumber, endsAt: now + vouchPromiseMilliseconds });
        return vouchPromiseMilliseconds;
    }

    function getDelayMilliseconds(revision: bigint, sidecarSetNumber: bigint): number {
        const now = clock.getMonotonicMilliseconds();
        const delays = promises
            .filter(promise => promise.revision < revision || promise.sidecarSetNumber < sidecarSetNumber)
            .map(promise => promise.endsAt - now);
        return Math.max(0, ...delays);
    }
}
