/*
 * The server of an entry process for callers, with a forwarder that a test provides.
 */
import { CallerServer, CallerServerOptions, startCallerServer } from "../../../platform/callers";
import { CallerReply, createPlannedStop, ForwardedRequest } from "../../../src/forwarding";
import { createSilentLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { createSystemClock } from "../../../src/runtime";
import { createTestFeedState } from "../../feed/createTestFeed";

/**
 * Starts the server.
 * @param forward - Handles requests in place of the forwarder.
 * @param changes - Options that replace the default ones.
 */
export function startTestCallerServer(
    forward: (request: ForwardedRequest, reply: CallerReply) => void | Promise<void>,
    changes: Partial<CallerServerOptions> = {},
): Promise<CallerServer> {
    const clock = createSystemClock();
    return startCallerServer({
        address: "127.0.0.1:0",
        forwarder: {
            forward: async (request, reply) => forward(request, reply),
            getActiveCount: () => 0,
            reportLoads: () => undefined,
        },
        state: createTestFeedState(clock, []),
        plannedStop: createPlannedStop(clock),
        memoryBytes: 160 * 1_048_576,
        clock,
        metrics: createMetrics(),
        logger: createSilentLogger(),
        ...changes,
    });
}
