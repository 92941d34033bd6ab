/*
 * Retains ended attempts in the order in which they ended, so that the first is always the next to be removed.
 */
import { Clock } from "../../runtime";
import { Attempt } from "./Attempt";
import { EndedAttempts } from "./EndedAttempts";

interface EndedAttemptEntry {
    bytes: number;
    expiresMilliseconds: number;
}

/**
 * Creates an empty collection of ended attempts.
 * @param clock - The clock that the retention time is measured with.
 * @param retentionMilliseconds - How long each attempt is retained.
 * @param maximumBytes - How many bytes of events are retained in total.
 * @param onEvicted - Called with each attempt that is removed.
 */
export function createEndedAttempts(
    clock: Clock,
    retentionMilliseconds: number,
    maximumBytes: number,
    onEvicted: (attempt: Attempt) => void,
): EndedAttempts {
    const entries = new Map<Attempt, EndedAttemptEntry>();
    let bytes = 0;
    return { addAttempt, evictExpired, getSize: () => entries.size };

    function addAttempt(attempt: Attempt): void {
        const attemptBytes = attempt.replayBuffer.getBytes();
        entries.set(attempt, {
            bytes: attemptBytes,
            expiresMilliseconds: clock.getMonotonicMilliseconds() + retentionMilliseconds,
        });
        bytes += attemptBytes;
        evictExpired();
    }

    function evictExpired(): void {
        const now = clock.getMonotonicMilliseconds();
        for (const [attempt, entry] of entries) {
            if (entry.expiresMilliseconds > now && bytes <= maximumBytes) {
                return;
            }
            entries.delete(attempt);
            bytes -= entry.bytes;
            onEvicted(attempt);
        }
    }
}
