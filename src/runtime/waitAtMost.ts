/*
 * Bounds a wait for something that may not end by itself.
 */
import { Clock } from "./Clock";

/**
 * Waits for a result, or for a time.
 * @param clock - The passing of time.
 * @param result - What is waited for; it goes on where the time ends first.
 * @param milliseconds - The longest wait, in milliseconds.
 * @returns The result, or undefined where the time ended first.
 */
export async function waitAtMost<T>(clock: Clock, result: Promise<T>, milliseconds: number): Promise<T | undefined> {
    const ended = new AbortController();
    try {
        return await Promise.race([result, clock.sleep(milliseconds, ended.signal).then(() => undefined)]);
    }
    finally {
        ended.abort();
    }
}
