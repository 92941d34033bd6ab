import { FeedState } from "../../src/feed";
import { createForwarder, createPlannedStop, ForwarderOptions } from "../../src/forwarding";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { createRandomSource } from "../../src/runtime";
import { createTestCrashQuarantine } from "../crashQuarantine/createTestCrashQuarantine";
import { createTestFactStore } from "../facts/createTestFacts";
import { createTestServerLimits } from "../serverLimits/createTestServerLimits";
import { createTestStreamOrigins } from "../streamOrigins/createTestStreamOrigins";
import { createManualClock } from "../support/createManualClock";
import { unlimitedQuotas } from "../workspaceQuotas/unlimitedQuotas";
import { createTestLink } from "./createTestLink";

/**
 * Creates the forwarder of an entry process without KV cache stores.
 * @param state - The routing document and the fleet.
 * @param link - Sends the attempts.
 * @param clock - The clock.
 * @param changes - Options that replace the default ones.
 */
export function createTestForwarder(
    state: FeedState,
    link: ReturnType<typeof createTestLink>,
    clock: ReturnType<typeof createManualClock>,
    changes: Partial<ForwarderOptions> = {},
) {
    return createForwarder({
        plannedStop: createPlannedStop(clock),
        pollConnections: () => Promise.resolve(),
        facts: createTestFactStore(clock),
        state,
        link,
        streamOrigins: createTestStreamOrigins(),
        crashQuarantine: createTestCrashQuarantine({ state, link, clock }),
        serverLimits: createTestServerLimits(state, clock),
        workspaceQuotas: unlimitedQuotas,
        kvCacheStores: { isReachable: () => false, hasPart: () => false },
        dataCentre: "west",
        signal: new AbortController().signal,
        maximumDocumentAgeMilliseconds: 3_500,
        supersededWeightsGraceMilliseconds: 10_000,
        retryShare: 0.2,
        retryReserve: 50,
        retryWindowMilliseconds: 0,
        clock,
        random: createRandomSource(1),
        logger: createSilentLogger(),
        metrics: createMetrics(),
        ...changes,
    });
}
