/*
 * Remembers ended attempts in the order in which they ended, so that whichever is forgotten next stands first.
 */
import { Clock } from "../../runtime";
import { Attempt } from "./Attempt";
import { EndedAttempts } from "./EndedAttempts";

interface EndedAttemptEntry {
    bytes: number;
    expiresMilliseconds: number;
}

/**
 * Creates an empty memory of ended attempts.
 * @param retentionMilliseconds - How long each is remembered.
 * @param maximumBytes - How many bytes of answers are kept.
 * @param onEvicted - Called with each that is forgotten.
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
