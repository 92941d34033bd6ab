/*
 * The leader's waiting for configuration revisions to come into force, in a task of its own. It checks after every
 * acknowledgement, and at intervals since leases end without any message.
 */
import { HistogramName, Metrics } from "../../metrics";
import { Clock, createWakeup } from "../../runtime";
import { InForceCheck } from "./InForceCheck";
import { InForceTracker } from "./InForceTracker";
import { InForceWatch } from "./InForceWatch";

const checkIntervalMilliseconds = 250;
const idleCheckIntervalMilliseconds = 5_000;
const batchDelayMilliseconds = 10;

interface Waiter {
    revision: bigint;
    expiresAt: number;
    resolve: (check: InForceCheck) => void;
}

/**
 * Starts the watch of one control member.
 * @param tracker - Decides whether a revision is in force.
 * @param getRevision - Gets the configuration revision that this member has applied.
 * @param clock - The clock that times and delays are taken from.
 * @param metrics - Where the time until a revision came into force is recorded.
 */
export function startInForceWatch(
    tracker: InForceTracker,
    getRevision: () => bigint,
    clock: Clock,
    metrics: Metrics,
): InForceWatch {
    const wakeup = createWakeup(clock);
    let waiters: Waiter[] = [];
    let newestRevision = getRevision();
    let newestAppliedAt = clock.getMonotonicMilliseconds();
    let isNewestInForce = false;
    let isStopped = false;
    const running = run();
    return { wait, wake: wakeup.wake, stop };

    function wait(revision: bigint, milliseconds: number): Promise<InForceCheck> {
        const expiresAt = clock.getMonotonicMilliseconds() + milliseconds;
        return new Promise(resolve => {
            waiters.push({ revision, expiresAt, resolve });
            wakeup.wake();
        });
    }

    async function run(): Promise<void> {
        while (!isStopped) {
            resolveWaiters();
            recordNewestRevision();
            const isIdle = waiters.length === 0 && isNewestInForce;
            const wasWoken = await wakeup.wait(isIdle ? idleCheckIntervalMilliseconds : checkIntervalMilliseconds);
            if (wasWoken && !isStopped) {
                await clock.sleep(batchDelayMilliseconds);
            }
        }
        waiters.forEach(waiter => waiter.resolve({ kind: "noLeader" }));
    }

    function resolveWaiters(): void {
        const now = clock.getMonotonicMilliseconds();
        const checks = new Map<bigint, InForceCheck>();
        waiters = waiters.filter(waiter => {
            const check = checks.get(waiter.revision) ?? tracker.check(waiter.revision);
            checks.set(waiter.revision, check);
            const isFinished = check.kind !== "pending" || now >= waiter.expiresAt;
            if (isFinished) {
                waiter.resolve(check);
            }
            return !isFinished;
        });
    }

    /** Records how long the newest revision took to come into force. */
    function recordNewestRevision(): void {
        const now = clock.getMonotonicMilliseconds();
        if (getRevision() !== newestRevision) {
            newestRevision = getRevision();
            newestAppliedAt = now;
            isNewestInForce = false;
        }
        if (!isNewestInForce && tracker.check(newestRevision).kind === "inForce") {
            isNewestInForce = true;
            metrics.recordMilliseconds(HistogramName.InForceTime, now - newestAppliedAt);
        }
    }

    async function stop(): Promise<void> {
        isStopped = true;
        wakeup.wake();
        await running;
    }
}
