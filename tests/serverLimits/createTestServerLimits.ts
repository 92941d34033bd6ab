import { FeedState } from "../../src/feed";
import { createSilentLogger } from "../../src/logging";
import { Clock } from "../../src/runtime";
import { createServerLimits, ServerLimits } from "../../src/serverLimits";

/**
 * Creates the limits of an entry process.
 * @param state - The state that the entry process has received.
 * @param clock - The clock.
 * @param entryId - The id of the entry process.
 */
export function createTestServerLimits(state: FeedState, clock: Clock, entryId = "entry-1"): ServerLimits {
    return createServerLimits({ entryId, incarnation: entryId, state, clock, logger: createSilentLogger() });
}
