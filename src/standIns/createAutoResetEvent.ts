/*
 * Creates an event by which one task waits until another has work for it.
 */
import { AutoResetEvent } from "./AutoResetEvent";

/** Creates an event that is not set. */
export function createAutoResetEvent(): AutoResetEvent {
    let isSet = false;
    let resume: (() => void) | undefined;
    return { set, wait };

    function set(): void {
        isSet = true;
        resume?.();
    }

    async function wait(): Promise<void> {
        if (!isSet) {
            await new Promise<void>(resolve => {
                resume = resolve;
            });
        }
        isSet = false;
        resume = undefined;
    }
}
