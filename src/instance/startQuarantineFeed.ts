/*
 * Sends the quarantine's records to all processes with a session here whenever they have changed.
 */
import { Distribution } from "../control";
import { QuarantinePart } from "../control/claims";
import { Clock, Stoppable } from "../runtime";
import { createQuarantineEvent } from "./createQuarantineEvent";

const pollIntervalMilliseconds = 100;

interface QuarantineFeedOptions {
    quarantine: QuarantinePart;
    distribution: Pick<Distribution, "broadcast">;
    clock: Clock;
}

/** Starts the feed. */
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
