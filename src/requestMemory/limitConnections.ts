/*
 * Limits the number of connections, so that clients which open many leave descriptors for backend servers and control. A
 * connection beyond the limit is closed when it is accepted, before anything is read from it.
 */
import type { Server } from "node:http";
import { Logger } from "../logging";
import { CounterName, Metrics } from "../metrics";
import { Clock } from "../runtime";

/** Log lines about refused connections are at least this far apart, in milliseconds. */
const logMilliseconds = 1_000;

/** The options. */
interface ConnectionLimitOptions {
    /** The server. */
    server: Server;
    /** The maximum number of connections; undefined for no limit. */
    connectionLimit: number | undefined;
    /** Called for each connection that is refused. */
    onRefused(): void;
    /** The clock by which log lines are limited. */
    clock: Clock;
    /** Counts refused connections. */
    metrics: Metrics;
    /** The logger for refused connections. */
    logger: Logger;
}

/**
 * Limits the connections that a server accepts from now on.
 * @param options - The server and the limit.
 */
export function limitConnections(options: ConnectionLimitOptions): void {
    const { server, connectionLimit, onRefused, clock, metrics, logger } = options;
    let loggedMilliseconds = -Infinity;
    let refusedCount = 0;
    if (connectionLimit === undefined) {
        return;
    }
    server.maxConnections = connectionLimit;
    server.on("drop", () => {
        refusedCount += 1;
        metrics.addCount(CounterName.ConnectionsRefused);
        onRefused();
        if (clock.getMonotonicMilliseconds() - loggedMilliseconds >= logMilliseconds) {
            loggedMilliseconds = clock.getMonotonicMilliseconds();
            logger.warn({ refusedCount, connectionLimit }, "refused connections");
            refusedCount = 0;
        }
    });
}
