/*
 * Limits what is parsed in one turn of the event loop. Addresses clients that send bodies in very small chunks, or many requests at once: each
 * chunk costs the same time whatever its size, and one read of a connection brings up to eleven thousand. Connections that need much
 * are read in turns, new ones first, so that all others are read without a wait. Where turns come too late, requests with the smallest
 * chunks are refused.
 */
import { Logger } from "../logging";
import { CounterName, GaugeName, Metrics } from "../metrics";
import { Clock, detach } from "../runtime";
import { ReadingTurns } from "./ReadingTurns";
import { TurnAccount } from "./TurnAccount";
import { TurnReader } from "./TurnReader";

/** What a request costs without its body, in chunks of bodies. */
const requestCost = 32;
/** After what cost in a turn a connection is not read until its next turn: that of eight requests. */
const maximumConnectionCost = 256;
/** After what cost in a turn all connections that need much, and those that have not been read yet, wait for their turns. */
const maximumTurnCost = 4_096;
/** How late a turn may be before requests are refused, in milliseconds. */
const maximumWaitMilliseconds = 500;
/** The interval of the refusals, in milliseconds. */
const checkMilliseconds = 250;
/** The number of chunks of a body from which their mean size counts. */
const minimumJudgedChunks = 4_096;
/** Requests with smaller chunks on average may be refused, in bytes. */
const smallChunkBytes = 64;
/** Log lines about refused requests are at least this far apart, in milliseconds. */
const logMilliseconds = 1_000;

/** A connection. */
interface Connection {
    reader: TurnReader;
    /** The cost in the current turn, and in earlier ones since costs were last reset. */
    turnCost: number;
    /** The cost in the last turn in which it was read. */
    lastCost: number;
    /** The chunks of the request's body that have arrived, and their bytes. */
    chunkCount: number;
    chunkBytes: number;
    /** When it began to wait for its turn, on the monotonic clock, in milliseconds; undefined if it doesn't wait. */
    waitingSinceMilliseconds: number | undefined;
}

/** The options. */
interface ReadingTurnsOptions {
    /** Waits until the event loop has read the connections that are not paused. */
    waitForTurn(): Promise<unknown>;
    /** The clock by which waits are taken. */
    clock: Clock;
    /** Counts refused requests. */
    metrics: Metrics;
    /** The logger for refused requests. */
    logger: Logger;
}

/**
 * Creates turns without connections.
 * @param options - The dependencies.
 */
export function createReadingTurns(options: ReadingTurnsOptions): ReadingTurns {
    const { waitForTurn, clock, metrics, logger } = options;
    /** The connections that have not been read yet. */
    const newConnections = new Set<Connection>();
    /** The connections that were expensive in a turn. */
    const costlyConnections = new Set<Connection>();
    /** The connections that have been read in the current turn. */
    const readConnections = new Set<Connection>();
    /** Those that wait for their turn, in the order of their waits. */
    const waitingNew = new Set<Connection>();
    const waitingCostly = new Set<Connection>();
    let turnCost = 0;
    let isTurnOver = false;
    let isRunning = false;
    let checkedMilliseconds = -Infinity;
    let loggedMilliseconds = -Infinity;
    let unloggedCount = 0;
    metrics.addGauge(GaugeName.ConnectionsWaitingForTurn, getWaitingCount);
    return { open, getWaitingCount };

    function getWaitingCount(): number {
        return waitingNew.size + waitingCostly.size;
    }

    function open(reader: TurnReader): TurnAccount {
        const connection: Connection = {
            reader,
            turnCost: 0,
            lastCost: 0,
            chunkCount: 0,
            chunkBytes: 0,
            waitingSinceMilliseconds: undefined,
        };
        newConnections.add(connection);
        if (isTurnOver || getWaitingCount() > 0) {
            wait(connection);
        }
        return {
            recordRequest: () => {
                connection.chunkCount = 0;
                connection.chunkBytes = 0;
                record(connection, requestCost);
            },
            recordChunk: byteCount => {
                connection.chunkCount += 1;
                connection.chunkBytes += byteCount;
                record(connection, 1);
            },
            close: () => close(connection),
        };
    }

    function close(connection: Connection): void {
        [newConnections, costlyConnections, readConnections, waitingNew, waitingCostly]
            .forEach(connections => connections.delete(connection));
    }

    /** Records a cost. Turns are awaited only once there is some, as ordinary requests never need one. */
    function record(connection: Connection, cost: number): void {
        newConnections.delete(connection);
        readConnections.add(connection);
        connection.turnCost += cost;
        turnCost += cost;
        if (!isRunning && (turnCost > maximumTurnCost / 4 || connection.turnCost > maximumConnectionCost / 2)) {
            isRunning = true;
            detach(runTurns());
        }
        if (connection.turnCost > maximumConnectionCost) {
            costlyConnections.add(connection);
            wait(connection);
        }
        if (!isTurnOver && turnCost > maximumTurnCost) {
            isTurnOver = true;
            newConnections.forEach(wait);
            costlyConnections.forEach(wait);
        }
    }

    function wait(connection: Connection): void {
        if (connection.waitingSinceMilliseconds === undefined) {
            connection.waitingSinceMilliseconds = clock.getMonotonicMilliseconds();
            (newConnections.has(connection) ? waitingNew : waitingCostly).add(connection);
            connection.reader.setPaused(true);
        }
    }

    /** Begins turns until no connection waits. */
    async function runTurns(): Promise<void> {
        do {
            await waitForTurn();
            beginTurn();
        }
        while (getWaitingCount() > 0 || turnCost > 0);
        isRunning = false;
    }

    function beginTurn(): void {
        turnCost = 0;
        isTurnOver = false;
        for (const connection of readConnections) {
            connection.lastCost = connection.turnCost;
            connection.turnCost = 0;
            if (connection.waitingSinceMilliseconds === undefined) {
                costlyConnections.delete(connection);
            }
        }
        readConnections.clear();
        refuseLate();
        let expectedCost = 0;
        for (const waiting of [waitingNew, waitingCostly]) {
            for (const connection of waiting) {
                const cost = Math.max(connection.lastCost, requestCost);
                if (expectedCost > 0 && expectedCost + cost > maximumTurnCost) {
                    return;
                }
                expectedCost += cost;
                waiting.delete(connection);
                connection.waitingSinceMilliseconds = undefined;
                connection.reader.setPaused(false);
            }
        }
    }

    /** Refuses requests where turns come too late: the half with the smaller chunks each time. */
    function refuseLate(): void {
        const nowMilliseconds = clock.getMonotonicMilliseconds();
        if (nowMilliseconds - checkedMilliseconds < checkMilliseconds) {
            return;
        }
        checkedMilliseconds = nowMilliseconds;
        const candidates = [...waitingCostly]
            .filter(({ waitingSinceMilliseconds, chunkCount, chunkBytes }) =>
                nowMilliseconds - waitingSinceMilliseconds! >= maximumWaitMilliseconds
                && chunkCount >= minimumJudgedChunks && chunkBytes < smallChunkBytes * chunkCount
            )
            .sort((left, right) => getMeanBytes(left) - getMeanBytes(right));
        const refused = candidates.slice(0, Math.ceil(candidates.length / 2));
        refused.forEach(({ reader }) => reader.refuse());
        metrics.addCount(CounterName.RequestsRefusedForTurns, refused.length);
        unloggedCount += refused.length;
        if (unloggedCount > 0 && nowMilliseconds - loggedMilliseconds >= logMilliseconds) {
            loggedMilliseconds = nowMilliseconds;
            logger.info(
                { refusedCount: unloggedCount, waitingCount: getWaitingCount() },
                "refused requests with small chunks",
            );
            unloggedCount = 0;
        }
    }
}

function getMeanBytes({ chunkCount, chunkBytes }: Connection): number {
    return chunkBytes / chunkCount;
}
