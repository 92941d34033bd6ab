/*
 * Finds the sidecar to try next, and waits a while where there is none at the moment.
 */
import { RouteStep } from "../routing";
import { EntryOptions } from "./EntryOptions";
import { RequestState } from "./RequestState";

const pollMilliseconds = 50;
const maximumWaitMilliseconds = 5_000;
const maximumStartedResponseWaitMilliseconds = 30_000;

/**
 * Finds a sidecar.
 * @param mayWait - Whether waiting may help: sidecars restart and are replaced, but an overload is not waited for.
 * @param signal - Ends the wait.
 * @returns The sidecar; undefined where none came in time.
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
