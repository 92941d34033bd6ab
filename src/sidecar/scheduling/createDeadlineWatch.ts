/*
 * One timer for the earliest deadline of all that waits.
 */
import { Clock } from "../../runtime";
import { createIndexedHeap } from "./createIndexedHeap";
import { DeadlineWatch } from "./DeadlineWatch";
import { QueuedRequest } from "./QueuedRequest";

const longestSleepMilliseconds = 60_000;

/** The options of a deadline watch. */
interface DeadlineWatchOptions {
    clock: Clock;
    /** Told of each request whose deadline has passed; it is watched no more. */
    onDeadline: (waiting: QueuedRequest) => void;
}

/** Creates a watch over no deadlines. */
export function createDeadlineWatch(options: DeadlineWatchOptions): DeadlineWatch {
    const { clock, onDeadline } = options;
    const waitingByDeadline = createIndexedHeap<QueuedRequest>(isEarlier);
    let timer: AbortController | undefined;
    let timerMilliseconds = Infinity;
    return { add, remove };

    function add(waiting: QueuedRequest): void {
        waitingByDeadline.setMember(waiting);
        if (waiting.request.deadlineMilliseconds < timerMilliseconds) {
            void waitForDeadline(waiting.request.deadlineMilliseconds);
        }
    }

    function remove(waiting: QueuedRequest): void {
        waitingByDeadline.removeMember(waiting);
        if (waitingByDeadline.getSize() === 0) {
            stopTimer();
        }
    }

    /** Waits for a deadline, tells of all that have passed, and waits for the next. */
    async function waitForDeadline(deadlineMilliseconds: number): Promise<void> {
        stopTimer();
        const own = new AbortController();
        timer = own;
        timerMilliseconds = deadlineMilliseconds;
        const remainingMilliseconds = Math.max(0, deadlineMilliseconds - clock.getMonotonicMilliseconds());
        await clock.sleep(Math.min(longestSleepMilliseconds, remainingMilliseconds), own.signal);
        if (own.signal.aborted) {
            return;
        }
        stopTimer();
        tellPassed();
    }

    function tellPassed(): void {
        const now = clock.getMonotonicMilliseconds();
        let first = waitingByDeadline.getFirst();
        while (first !== undefined && first.request.deadlineMilliseconds <= now) {
            waitingByDeadline.removeMember(first);
            onDeadline(first);
            first = waitingByDeadline.getFirst();
        }
        if (first !== undefined && first.request.deadlineMilliseconds < timerMilliseconds) {
            void waitForDeadline(first.request.deadlineMilliseconds);
        }
    }

    function stopTimer(): void {
        timer?.abort();
        timer = undefined;
        timerMilliseconds = Infinity;
    }
}

/** Orders by deadline. */
function isEarlier(left: QueuedRequest, right: QueuedRequest): boolean {
    return left.request.deadlineMilliseconds < right.request.deadlineMilliseconds;
}
