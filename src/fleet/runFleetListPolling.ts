/*
 * The leader's task that polls the platform's list. While the list is unavailable, the last one stays in use.
 */
import { runWithTimeout } from "../runtime";
import { FleetListPollingOptions } from "./FleetListPollingOptions";

/** The timeout of one reading of the list, in milliseconds; without faults, the list responds within a few. */
const readTimeoutMilliseconds = 2_000;
/** How often a process that does not lead checks whether it does: entry processes wait for a new leader's first list. */
const leadershipCheckMilliseconds = 20;

/**
 * Polls the list until the signal stops the task.
 * @param options - The list, the view to update and the task's other dependencies.
 */
export async function runFleetListPolling(options: FleetListPollingOptions): Promise<void> {
    const { listClient, fleetTracker, clock, logger, signal, intervalMilliseconds } = options;
    let isUnavailable = false;
    while (!signal.aborted) {
        if (!options.isLeader()) {
            await clock.sleep(leadershipCheckMilliseconds, signal);
            continue;
        }
        const instances = await runWithTimeout(clock, readTimeoutMilliseconds, signal, listClient.getInstances);
        recordReadResult(instances !== undefined);
        if (instances && options.isLeader()) {
            fleetTracker.setInstances(instances);
        }
        await clock.sleep(intervalMilliseconds, signal);
    }

    function recordReadResult(isRead: boolean): void {
        if (isRead === isUnavailable) {
            isUnavailable = !isRead;
            const fields = { instances: fleetTracker.getInstances().length };
            logger.warn(fields, isRead ? "the platform's list answers again" : "the platform's list does not answer");
        }
    }
}
