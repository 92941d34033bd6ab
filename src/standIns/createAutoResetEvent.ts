/*
 * Lets one task wait until another has something for it.
 */
import { AutoResetEvent } from "./AutoResetEvent";

/** Creates a wake signal. */
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
