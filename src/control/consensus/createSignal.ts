/*
 * Implements a signal over promises, with timeouts from a given clock.
 */
import { abortWait, Clock } from "../../runtime";
import { Signal } from "./Signal";

/**
 * Creates a signal.
 * @param clock - The clock that ends waits with a time limit.
 */
export function createSignal(clock: Clock): Signal {
    const waiters = new Set<() => void>();
    return { notify, wait };

    function notify(): void {
        const woken = [...waiters];
        waiters.clear();
        woken.forEach(wake => wake());
    }

    function wait(milliseconds?: number): Promise<void> {
        return milliseconds === undefined ? waitForNotification() : waitForTime(Math.max(0, milliseconds));
    }

    function waitForNotification(): Promise<void> {
        return new Promise(resolve => waiters.add(resolve));
    }

    async function waitForTime(milliseconds: number): Promise<void> {
        const controller = new AbortController();
        const wake = () => abortWait(controller);
        waiters.add(wake);
        await clock.sleep(milliseconds, controller.signal);
        waiters.delete(wake);
    }
}
