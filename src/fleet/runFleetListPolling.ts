/*
 * The leader's task that reads the platform's list. While the list can't be had, the last one holds.
 */
import { FleetListPollingOptions } from "./FleetListPollingOptions";

/** How long one reading of the list may take, in milliseconds: the list answers within a few otherwise. */
const readTimeoutMilliseconds = 2_000;

/**
 * Reads the list until the signal ends the task.
 * @param options - What the task is made of.
 */
export async function runFleetListPolling(options: FleetListPollingOptions): Promise<void> {
    const { listClient: list, fleetTracker: board, clock, logger, signal, intervalMilliseconds } = options;
    let isUnavailable = false;
    while (!signal.aborted) {
        if (options.isLeader()) {
            const instances = await list.getInstances(
                AbortSignal.any([signal, AbortSignal.timeout(readTimeoutMilliseconds)]),
            );
            recordReadResult(instances !== undefined);
            if (instances && options.isLeader()) {
                board.setInstances(instances);
            }
        }
        await clock.sleep(intervalMilliseconds, signal);
    }

    function recordReadResult(isRead: boolean): void {
        if (isRead === isUnavailable) {
            isUnavailable = !isRead;
            const state = { instances: board.getInstances().length };
            logger.warn(state, isRead ? "the platform's list answers again" : "the platform's list does not answer");
        }
    }
}
