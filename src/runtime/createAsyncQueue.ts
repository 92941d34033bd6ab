/*
 * A queue between two tasks, with a single reader.
 */
import { AsyncQueue } from "./AsyncQueue";

/** Creates an empty queue for a single reader. */
export function createAsyncQueue<T>(): AsyncQueue<T> {
    const items: T[] = [];
    let isClosed = false;
    let resumeReader: (() => void) | undefined;
    return { add, close, getLength: () => items.length, [Symbol.asyncIterator]: iterate };

    function add(item: T): void {
        if (isClosed) {
            return;
        }
        items.push(item);
        resumeReader?.();
    }

    function close(): void {
        isClosed = true;
        resumeReader?.();
    }

    async function* iterate(): AsyncGenerator<T> {
        while (true) {
            while (items.length > 0) {
                yield items.shift()!;
            }
            if (isClosed) {
                return;
            }
            await new Promise<void>(resolve => resumeReader = resolve);
            resumeReader = undefined;
        }
    }
}
