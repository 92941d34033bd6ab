/*
 * The leader's task that reads the platform's list. While the list can't be had, the last one holds.
 */
import { FleetTaskOptions } from "./FleetTaskOptions";

/** How long one reading of the list may take, in milliseconds: the list answers within a few otherwise. */
const readMilliseconds = 2_000;

/**
 * Reads the list until the signal ends the task.
 * @param options - What the task is made of.
 */
export async function runFleetList(options: FleetTaskOptions): Promise<void> {
    const { list, board, clock, logger, signal, intervalMilliseconds } = options;
    let isLost = false;
    while (!signal.aborted) {
        if (options.isLeader()) {
            const instances = await list.getInstances(AbortSignal.any([signal, AbortSignal.timeout(readMilliseconds)]));
            noteReading(instances !== undefined);
            if (instances && options.isLeader()) {
                board.setInstances(instances);
            }
        }
        await clock.sleep(intervalMilliseconds, signal);
    }

    function noteReading(isRead: boolean): void {
        if (isRead === isLost) {
            isLost = !isRead;
            const state = { instances: board.getInstances().length };
            logger.warn(state, isRead ? "the platform's list answers again" : "the platform's list does not answer");
        }
    }
}
