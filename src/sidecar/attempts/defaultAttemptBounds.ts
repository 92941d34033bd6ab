/*
 * How much a sidecar remembers of attempts unless told otherwise.
 */
import { AttemptBounds } from "./AttemptBounds";

/** The bounds of a register of attempts. */
export const defaultAttemptBounds: AttemptBounds = {
    tailBytes: 262_144,
    claimedTailBytes: 1_048_576,
    unfollowedMilliseconds: 10_000,
    endedMilliseconds: 10_000,
    claimedEndedMilliseconds: 300_000,
    endedBytes: 16_777_216,
    numbers: 50_000,
};
