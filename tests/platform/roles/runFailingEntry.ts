/*
 * A process that serves callers as an entry process does, holds each request until it ends, and fails when it reads a line.
 */
import { AddressInfo } from "node:net";
import { startCallerServer } from "../../../platform/callers";
import { createLastHandler } from "../../../platform/roles/createLastHandler";
import { drainEntry } from "../../../platform/roles/drainEntry";
import { createPlannedStop } from "../../../src/forwarding";
import { createBoundedWriter, createLogger } from "../../../src/logging";
import { createMetrics } from "../../../src/metrics";
import { RefusalReason } from "../../../src/protocol";
import { createSystemClock, detach } from "../../../src/runtime";
import { createTestFeedState } from "../../feed/createTestFeed";

const standardOutputDescriptor = 1;
/** Callers are served for 2.5 s of it, and all requests answered after 2.8 s. */
const stopGraceMilliseconds = 3_500;

async function runFailingEntry(): Promise<void> {
    const clock = createSystemClock();
    const writer = createBoundedWriter(standardOutputDescriptor, clock);
    const logger = createLogger("entry-1", { level: "info" }, writer);
    const lastHandler = createLastHandler({ events: process, logger, writer, clock, exit: code => process.exit(code) });
    const plannedStop = createPlannedStop(clock);
    const callerServer = await startCallerServer({
        address: "127.0.0.1:0",
        forwarder: {
            forward: async (...[, reply]) => {
                await new Promise(resolve => plannedStop.signal.addEventListener("abort", resolve, { once: true }));
                reply.refuse({ kind: "unknown", reason: RefusalReason.OUTCOME_UNKNOWN });
            },
            getActiveCount: () => 0,
            reportLoads: () => undefined,
        },
        state: createTestFeedState(clock, []),
        plannedStop,
        clock,
        metrics: createMetrics(),
        logger,
    });
    lastHandler.setOrderlyEnd(() =>
        drainEntry({
            callerServer,
            plannedStop,
            getRequestCount: callerServer.getOpenCount,
            stopGraceMilliseconds,
            clock,
            logger,
            exit: () => detach(lastHandler.end()),
        }), stopGraceMilliseconds);
    process.stdin.on("data", data => {
        if (data.toString().startsWith("reject")) {
            detach(Promise.reject(new Error("a promise broke")));
            return;
        }
        throw new Error("a listener broke");
    });
    logger.info({ port: (callerServer.server.address() as AddressInfo).port }, "listens");
}

detach(runFailingEntry());
