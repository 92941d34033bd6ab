/*
 * Broadcasts the quarantine records to all processes with a session at this control member after every change.
 */
import { Distribution } from "../control";
import { QuarantinePart } from "../control/claims";
import { Clock, Stoppable } from "../runtime";
import { createQuarantineEvent } from "./createQuarantineEvent";

const pollIntervalMilliseconds = 100;

/** The options of the feed. */
interface QuarantineFeedOptions {
    /** The source of the records. */
    quarantine: QuarantinePart;
    /** The sessions that receive the records. */
    distribution: Pick<Distribution, "broadcast">;
    /** The clock for the polling interval. */
    clock: Clock;
}

/**
 * Starts the feed.
 * @param options - The options of the feed.
 */
export function startQuarantineFeed(options: QuarantineFeedOptions): Stoppable {
    const { clock, distribution, quarantine } = options;
    const abortController = new AbortController();
    const task = broadcastChanges();
    return { stop };

    async function broadcastChanges(): Promise<void> {
        let sentChangeNumber = quarantine.getChangeNumber();
        while (!abortController.signal.aborted) {
            await clock.sleep(pollIntervalMilliseconds, abortController.signal);
            if (quarantine.getChangeNumber() !== sentChangeNumber) {
                sentChangeNumber = quarantine.getChangeNumber();
                distribution.broadcast(createQuarantineEvent(quarantine, true));
            }
        }
    }

    async function stop(): Promise<void> {
        abortController.abort();
        await task;
    }
}
