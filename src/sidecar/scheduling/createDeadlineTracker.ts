/*
 * Tracks the deadlines of all waiting requests with one timer, set to the earliest deadline.
 */
import { Clock } from "../../runtime";
import { createIndexedHeap } from "./createIndexedHeap";
import { DeadlineTracker } from "./DeadlineTracker";
import { QueuedRequest } from "./QueuedRequest";

const maximumSleepMilliseconds = 60_000;

/** The options of a deadline tracker. */
interface DeadlineTrackerOptions {
    /** The clock that deadlines refer to. */
    clock: Clock;
    /** Called with each request whose deadline has passed, after the request was removed from the tracker. */
    onExpired: (waiting: QueuedRequest) => void;
}

/** Creates a tracker without deadlines. */
export function createDeadlineTracker(options: DeadlineTrackerOptions): DeadlineTracker {
    const { clock, onExpired } = options;
    const waitingByDeadline = createIndexedHeap<QueuedRequest>(isEarlier);
    let timer: AbortController | undefined;
    let timerDeadlineMilliseconds = Infinity;
    return { add, remove };

    function add(waiting: QueuedRequest): void {
        waitingByDeadline.addOrMoveMember(waiting);
        if (waiting.request.deadlineMilliseconds < timerDeadlineMilliseconds) {
            void waitForDeadline(waiting.request.deadlineMilliseconds);
        }
    }

    function remove(waiting: QueuedRequest): void {
        waitingByDeadline.removeMember(waiting);
        if (waitingByDeadline.getSize() === 0) {
            stopTimer();
        }
    }

    /** Waits for a deadline, reports all requests that have expired, and waits for the next deadline. */
    async function waitForDeadline(deadlineMilliseconds: number): Promise<void> {
        stopTimer();
        const ownTimer = new AbortController();
        timer = ownTimer;
        timerDeadlineMilliseconds = deadlineMilliseconds;
        const remainingMilliseconds = Math.max(0, deadlineMilliseconds - clock.getMonotonicMilliseconds());
        await clock.sleep(Math.min(maximumSleepMilliseconds, remainingMilliseconds), ownTimer.signal);
        if (ownTimer.signal.aborted) {
            return;
        }
        stopTimer();
        reportExpired();
    }

    function reportExpired(): void {
        const now = clock.getMonotonicMilliseconds();
        let first = waitingByDeadline.getFirst();
        while (first !== undefined && first.request.deadlineMilliseconds <= now) {
            waitingByDeadline.removeMember(first);
            onExpired(first);
            first = waitingByDeadline.getFirst();
        }
        if (first !== undefined && first.request.deadlineMilliseconds < timerDeadlineMilliseconds) {
            void waitForDeadline(first.request.deadlineMilliseconds);
        }
    }

    function stopTimer(): void {
        timer?.abort();
        timer = undefined;
        timerDeadlineMilliseconds = Infinity;
    }
}

/** Compares requests by deadline. */
function isEarlier(left: QueuedRequest, right: QueuedRequest): boolean {
    return left.request.deadlineMilliseconds < right.request.deadlineMilliseconds;
}
