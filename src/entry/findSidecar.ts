/*
 * Finds the sidecar to try next, and waits for one where none is available.
 */
import { RouteStep } from "../routing";
import { EntryOptions } from "./EntryOptions";
import { RequestState } from "./RequestState";

const pollMilliseconds = 50;
const maximumWaitMilliseconds = 5_000;
const maximumStartedResponseWaitMilliseconds = 30_000;

/**
 * Finds the sidecar for the next attempt. The wait is longer once a part of the response has been passed on.
 * @param options - The entry's options.
 * @param state - The state that all attempts at the request share.
 * @param mayWait - Whether to wait: sidecars restart and are replaced, but the end of an overload is not waited for.
 * @param signal - Ends the wait.
 * @returns The sidecar; undefined where none became available in time.
 */
export async function findSidecar(
    options: EntryOptions,
    state: RequestState,
    mayWait: boolean,
    signal: AbortSignal,
): Promise<RouteStep | undefined> {
    const { clock } = options;
    const waitMilliseconds = state.hasResponseStarted()
        ? maximumStartedResponseWaitMilliseconds
        : maximumWaitMilliseconds;
    const deadlineMilliseconds = clock.getMonotonicMilliseconds() + waitMilliseconds;
    let step = state.getNextStep();
    while (step === undefined && mayWait && clock.getMonotonicMilliseconds() < deadlineMilliseconds) {
        await clock.sleep(pollMilliseconds, signal);
        if (signal.aborted) {
            return undefined;
        }
        state.clearExclusions();
        step = state.getNextStep();
    }
    return step;
}
