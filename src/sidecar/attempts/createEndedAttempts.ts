/*
 * Remembers ended attempts in the order in which they ended, so that whichever is forgotten next stands first.
 */
import { Clock } from "../../runtime";
import { Attempt } from "./Attempt";
import { EndedAttempts } from "./EndedAttempts";

interface EndedAttempt {
    bytes: number;
    forgetMilliseconds: number;
}

/**
 * Creates an empty memory of ended attempts.
 * @param keptMilliseconds - How long each is remembered.
 * @param maximumBytes - How many bytes of answers are kept.
 * @param onForgotten - Called with each that is forgotten.
 */
export function createEndedAttempts(
    clock: Clock,
    keptMilliseconds: number,
    maximumBytes: number,
    onForgotten: (attempt: Attempt) => void,
): EndedAttempts {
    const ended = new Map<Attempt, EndedAttempt>();
    let bytes = 0;
    return { addAttempt, forgetOld, getSize: () => ended.size };

    function addAttempt(attempt: Attempt): void {
        const attemptBytes = attempt.tail.getBytes();
        ended.set(attempt, {
            bytes: attemptBytes,
            forgetMilliseconds: clock.getMonotonicMilliseconds() + keptMilliseconds,
        });
        bytes += attemptBytes;
        forgetOld();
    }

    function forgetOld(): void {
        const now = clock.getMonotonicMilliseconds();
        for (const [attempt, entry] of ended) {
            if (entry.forgetMilliseconds > now && bytes <= maximumBytes) {
                return;
            }
            ended.delete(attempt);
            bytes -= entry.bytes;
            onForgotten(attempt);
        }
    }
}
