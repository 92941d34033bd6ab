/*
 * Runs an action after a delay.
 */
import { Clock } from "./Clock";
import { detach } from "./detach";

/**
 * Runs an action once after a delay.
 * @param clock - The clock.
 * @param milliseconds - The delay, in milliseconds.
 * @param action - The action; one that may throw is started by `startTask` instead.
 * @param signal - Ends the delay early when aborted; the action is run then, too.
 */
export function runAfter(clock: Clock, milliseconds: number, action: () => void, signal?: AbortSignal): void {
    detach(clock.sleep(milliseconds, signal).then(action));
}
