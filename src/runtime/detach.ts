/*
 * The one place where a promise is left to itself.
 */

/**
 * Leaves a promise to itself. If it is rejected, the process ends by its last handler, so this is for operations that are
 * rejected only where an invariant is broken; tasks that may fail are started by `startTask`.
 * @param promise - The promise of an operation whose end nobody awaits.
 */
export function detach(promise: Promise<unknown>): void {
    // eslint-disable-next-line @typescript-eslint/no-floating-promises
    void promise;
}
