/*
 * Chains each task to the promise of the task before it.
 */
import { SerialQueue } from "./SerialQueue";

/** Creates an empty queue. */
export function createSerialQueue(): SerialQueue {
    let last: Promise<unknown> = Promise.resolve();
    return { run };

    function run<T>(task: () => Promise<T>): Promise<T> {
        const result = last.then(task);
        last = result.catch(() => undefined);
        return result;
    }
}
