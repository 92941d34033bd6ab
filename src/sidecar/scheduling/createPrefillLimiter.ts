/*
 * Limits the prefills in progress at an engine. Of each lane of long prefills, one runs at a time, so that concurrent
 * prefills of the lane don't delay its first token. Prefills of more urgent lanes may start beside it, since engines
 * split prefills into chunks and honour priorities. How long a prefill still delays more urgent ones is estimated from
 * observed durations, since engines differ.
 */
import { Clock } from "../../runtime";
import { Lane } from "./Lane";
import { lanes } from "./lanes";
import { PrefillLimiter } from "./PrefillLimiter";
import { QueuedRequest } from "./QueuedRequest";

const initialBlockingMilliseconds = 100;
const increaseSmoothingFactor = 0.3;
const decreaseSmoothingFactor = 0.05;

/** The options of a prefill limiter. */
interface PrefillLimiterOptions {
    /** The clock that prefills are measured by. */
    clock: Clock;
    /** The remaining short prefill at the engine below which another short one may begin. */
    prefillAheadMilliseconds: number;
}

interface PrefillProgress {
    startMilliseconds: number;
    /** The remaining time, at the start, of the prefills in progress of the same and more urgent lanes. */
    urgentAheadMilliseconds: number;
    /** The remaining time, at the start, of the prefills in progress of less urgent lanes. */
    lessUrgentAheadMilliseconds: number;
}

/** Creates the prefill limiter of one engine. */
export function createPrefillLimiter(options: PrefillLimiterOptions): PrefillLimiter {
    const { clock, prefillAheadMilliseconds } = options;
    const prefills = new Map<QueuedRequest, PrefillProgress>();
    const counts = lanes.map(() => 0);
    let blockingMilliseconds = initialBlockingMilliseconds;
    return { canBegin, begin, end, getDelayMilliseconds, getRemainingMilliseconds };

    function canBegin(lane: Lane): boolean {
        return counts[lane] === 0
            || (lane === Lane.Short && sumRemainingMilliseconds(lane, lane) < prefillAheadMilliseconds);
    }

    function begin(running: QueuedRequest): void {
        prefills.set(running, {
            startMilliseconds: clock.getMonotonicMilliseconds(),
            urgentAheadMilliseconds: sumRemainingMilliseconds(Lane.Short, running.lane),
            lessUrgentAheadMilliseconds: sumRemainingMilliseconds(running.lane + 1, Lane.Deferred),
        });
        counts[running.lane]!++;
    }

    function end(running: QueuedRequest, hasSucceeded: boolean): void {
        const ended = prefills.get(running);
        if (ended === undefined) {
            return;
        }
        prefills.delete(running);
        counts[running.lane]!--;
        if (hasSucceeded && running.lane === Lane.Short) {
            updateBlockingEstimate(running, ended);
        }
    }

    function getDelayMilliseconds(lane: Lane): number {
        const lessUrgentMilliseconds = sumRemainingMilliseconds(lane + 1, Lane.Deferred);
        return sumRemainingMilliseconds(Lane.Short, lane) + Math.min(lessUrgentMilliseconds, blockingMilliseconds);
    }

    function getRemainingMilliseconds(running: QueuedRequest): number {
        const startMilliseconds = prefills.get(running)?.startMilliseconds;
        if (startMilliseconds === undefined) {
            return 0;
        }
        return Math.max(
            0,
            running.estimate.prefillMilliseconds - (clock.getMonotonicMilliseconds() - startMilliseconds),
        );
    }

    /** Sums the remaining times of the prefills of a range of lanes. */
    function sumRemainingMilliseconds(firstLane: number, lastLane: Lane): number {
        let sum = 0;
        for (const running of prefills.keys()) {
            const isCounted = running.lane >= firstLane && running.lane <= lastLane;
            sum += isCounted ? getRemainingMilliseconds(running) : 0;
        }
        return sum;
    }

    /** Updates the estimate from a short prefill that began while a long one was in progress. */
    function updateBlockingEstimate(running: QueuedRequest, ended: PrefillProgress): void {
        if (ended.lessUrgentAheadMilliseconds === 0) {
            return;
        }
        const elapsedMilliseconds = clock.getMonotonicMilliseconds() - ended.startMilliseconds;
        const expectedMilliseconds = ended.urgentAheadMilliseconds + running.estimate.prefillMilliseconds;
        const observedMilliseconds = Math.min(
            ended.lessUrgentAheadMilliseconds,
            Math.max(0, elapsedMilliseconds - expectedMilliseconds),
        );
        const smoothingFactor = observedMilliseconds > blockingMilliseconds
            ? increaseSmoothingFactor
            : decreaseSmoothingFactor;
        blockingMilliseconds += smoothingFactor * (observedMilliseconds - blockingMilliseconds);
    }
}
