/*
 * Tracks the contact of an entry process with control. The number of entry processes is the largest that was named
 * recently: a member that has just begun to lead knows only those that have polled it since.
 */
import { Logger } from "../logging";
import { ClockReading, getElapsedMilliseconds, readClocks } from "../membership";
import { Clock } from "../runtime";
import { ControlContact } from "./ControlContact";
import { entryActivityMilliseconds } from "./entryActivityMilliseconds";

/**
 * Creates the contact of a process that has received no response yet.
 * @param clock - Measures the time since each response.
 * @param logger - Logs changes of the number of entry processes.
 */
export function createControlContact(clock: Clock, logger: Logger): ControlContact {
    let responses: { received: ClockReading; entryCount: number; }[] = [];
    let startMilliseconds: number | undefined;
    return { recordResponse, getEntryCount, getStartMilliseconds };

    function recordResponse(entryCount: number): void {
        const formerEntryCount = getEntryCount();
        startMilliseconds = getStartMilliseconds() ?? clock.getMonotonicMilliseconds();
        // A response is superseded by a later one that names as many entry processes.
        responses = responses.filter(response => isRecent(response) && response.entryCount > entryCount);
        responses.push({ received: readClocks(clock), entryCount });
        if (getEntryCount() !== formerEntryCount) {
            logger.info({ entryCount: getEntryCount(), formerEntryCount }, "number of entry processes changed");
        }
    }

    function getEntryCount(): number {
        const last = responses.at(-1)?.entryCount ?? 1;
        return Math.max(1, last, ...responses.filter(isRecent).map(({ entryCount }) => entryCount));
    }

    function getStartMilliseconds(): number | undefined {
        const last = responses.at(-1);
        return last && isRecent(last) ? startMilliseconds : undefined;
    }

    function isRecent({ received }: { received: ClockReading; }): boolean {
        return getElapsedMilliseconds(clock, received) <= entryActivityMilliseconds;
    }
}
