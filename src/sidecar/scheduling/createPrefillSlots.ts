/*
 * Bounds on the prefills handed to an engine. One long prefill of a lane runs at a time, so that its time to first token
 * is not shared with others; those of more urgent lanes may start beside it, since engines cut prefills and honour
 * priorities. How far a prefill does hold up more urgent ones is learned from what is seen, since engines differ.
 */
import { Clock } from "../../runtime";
import { Lane } from "./Lane";
import { lanes } from "./lanes";
import { PrefillSlots } from "./PrefillSlots";
import { QueuedRequest } from "./QueuedRequest";

const initialBlockingMilliseconds = 100;
const growingSmoothing = 0.3;
const fallingSmoothing = 0.05;

/** The options of prefill slots. */
interface PrefillSlotsOptions {
    clock: Clock;
    prefillAheadMilliseconds: number;
}

interface Progress {
    beganMilliseconds: number;
    urgentMillisecondsAhead: number;
    laterMillisecondsAhead: number;
}

/** Creates the prefill slots of one engine. */
export function createPrefillSlots(options: PrefillSlotsOptions): PrefillSlots {
    const { clock, prefillAheadMilliseconds } = options;
    const progress = new Map<QueuedRequest, Progress>();
    const counts = lanes.map(() => 0);
    let blockingMilliseconds = initialBlockingMilliseconds;
    return { canBegin, begin, end, getHoldUpMilliseconds, getRemainingMilliseconds };

    function canBegin(lane: Lane): boolean {
        return counts[lane] === 0 || (lane === Lane.Short && sumRemaining(lane, lane) < prefillAheadMilliseconds);
    }

    function begin(running: QueuedRequest): void {
        progress.set(running, {
            beganMilliseconds: clock.getMonotonicMilliseconds(),
            urgentMillisecondsAhead: sumRemaining(Lane.Short, running.lane),
            laterMillisecondsAhead: sumRemaining(running.lane + 1, Lane.Deferred),
        });
        counts[running.lane]!++;
    }

    function end(running: QueuedRequest, hasSucceeded: boolean): void {
        const ended = progress.get(running);
        if (ended === undefined) {
            return;
        }
        progress.delete(running);
        counts[running.lane]!--;
        if (hasSucceeded && running.lane === Lane.Short) {
            learnBlocking(running, ended);
        }
    }

    function getHoldUpMilliseconds(lane: Lane): number {
        const later = sumRemaining(lane + 1, Lane.Deferred);
        return sumRemaining(Lane.Short, lane) + Math.min(later, blockingMilliseconds);
    }

    function getRemainingMilliseconds(running: QueuedRequest): number {
        const began = progress.get(running)?.beganMilliseconds;
        if (began === undefined) {
            return 0;
        }
        return Math.max(0, running.estimate.prefillMilliseconds - (clock.getMonotonicMilliseconds() - began));
    }

    /** Sums what the prefills of a range of lanes still take. */
    function sumRemaining(firstLane: number, lastLane: Lane): number {
        let sum = 0;
        for (const running of progress.keys()) {
            const isCounted = running.lane >= firstLane && running.lane <= lastLane;
            sum += isCounted ? getRemainingMilliseconds(running) : 0;
        }
        return sum;
    }

    /** Learns from a short prefill that began while a long one was in progress how long that held it up. */
    function learnBlocking(running: QueuedRequest, ended: Progress): void {
        if (ended.laterMillisecondsAhead === 0) {
            return;
        }
        const tookMilliseconds = clock.getMonotonicMilliseconds() - ended.beganMilliseconds;
        const ownMilliseconds = ended.urgentMillisecondsAhead + running.estimate.prefillMilliseconds;
        const seen = Math.min(ended.laterMillisecondsAhead, Math.max(0, tookMilliseconds - ownMilliseconds));
        const smoothing = seen > blockingMilliseconds ? growingSmoothing : fallingSmoothing;
        blockingMilliseconds += smoothing * (seen - blockingMilliseconds);
    }
}
