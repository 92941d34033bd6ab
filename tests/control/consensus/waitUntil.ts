const pollMilliseconds = 5;

/** Waits until a condition holds; the timeout of the test limits the wait. */
export async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await new Promise(resolve => setTimeout(resolve, pollMilliseconds));
    }
}
