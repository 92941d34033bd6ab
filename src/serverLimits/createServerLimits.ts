/*
 * Keeps the limits that backend servers name. The newest statement of a server counts, whether this entry process heard
 * it or control members distributed it. Control members divide a limit among a few entry processes; until they have, each
 * entry process takes an equal part. A share begins without saved up requests.
 */
import { LRUCache } from "lru-cache";
import { assertNever } from "../errors";
import { FeedState } from "../feed";
import { createTokenBucket, TokenBucket } from "../limits";
import { Logger } from "../logging";
import { FleetView } from "../protocol";
import { Clock } from "../runtime";
import { LimitStatement } from "./LimitStatement";
import { RequestLimit } from "./RequestLimit";
import { ServerLimits } from "./ServerLimits";

/** The maximum number of backend servers with a limit; beyond it, the one named least recently is dropped. */
const maximumServers = 4_096;
/** How long the end of a limit is reported, in milliseconds. */
const endedLifetimeMilliseconds = 60_000;
/** The number of requests that a share may save up. */
const bucketCapacity = 1;
/** Makes up for rounding errors of the bucket. */
const roundingTolerance = 1e-6;
/** The wait of callers at an entry process without a share, in milliseconds: it may get one when members change. */
const noShareWaitMilliseconds = 2_000;
const millisecondsPerSecond = 1_000;

interface ServerLimitsOptions {
    /** The id of the entry process, by which control members name it. */
    entryId: string;
    /** Differs after each start of the entry process; part of the ids of its statements. */
    incarnation: string;
    /** Provides the limits that control members distribute. */
    state: Pick<FeedState, "getFleet" | "getFleetAgeMilliseconds" | "getEntryCount">;
    /** The clock. */
    clock: Clock;
    /** Logs limits when they change. */
    logger: Logger;
}

/** What is known of a backend server's limit. */
interface ServerRecord {
    /** Undefined where it has no limit any more. */
    requestsPerSecond: number | undefined;
    timeMilliseconds: number;
    /** The id of the statement; undefined where another entry process heard it. */
    statementId: string | undefined;
    bucket: TokenBucket;
}

/**
 * Creates the limits of an entry process.
 * @param options - The dependencies.
 */
export function createServerLimits(options: ServerLimitsOptions): ServerLimits {
    const { entryId, incarnation, state, clock, logger } = options;
    const records = new LRUCache<string, ServerRecord>({ max: maximumServers });
    const shareCounts = new Map<string, number>();
    let view: FleetView | undefined;
    let statementCount = 0;
    return { recordLimit, getWaitMilliseconds, tryTake, giveBack, getStatements };

    function recordLimit(instanceId: string, limit: RequestLimit): void {
        readView();
        switch (limit.kind) {
            case "none":
                if (records.get(instanceId)?.requestsPerSecond !== undefined) {
                    setLimit(instanceId, undefined, clock.getMonotonicMilliseconds(), getNextStatementId());
                }
                break;
            case "limited":
                setLimit(
                    instanceId,
                    limit.requestsPerSecond,
                    clock.getMonotonicMilliseconds(),
                    getNextStatementId(),
                );
                break;
            case "malformed":
                logger.warn({ instanceId, text: limit.text }, "backend server names a malformed limit");
                break;
            default:
                assertNever(limit);
        }
    }

    function getNextStatementId(): string {
        statementCount += 1;
        return `${incarnation}.${statementCount}`;
    }

    function setLimit(
        instanceId: string,
        requestsPerSecond: number | undefined,
        timeMilliseconds: number,
        statementId: string | undefined,
    ): void {
        const former = records.get(instanceId);
        const fields = { instanceId, requestsPerSecond, formerRequestsPerSecond: former?.requestsPerSecond };
        if (fields.requestsPerSecond !== fields.formerRequestsPerSecond) {
            const message = requestsPerSecond === undefined
                ? "backend server names no limit any more"
                : "backend server names a limit";
            logger.info({ ...fields, isOwnResponse: statementId !== undefined }, message);
        }
        const bucket = former?.requestsPerSecond === undefined ? createTokenBucket(clock) : former.bucket;
        records.set(instanceId, { requestsPerSecond, timeMilliseconds, statementId, bucket });
    }

    /** Applies the limits of a newer fleet view. */
    function readView(): void {
        const newest = state.getFleet();
        if (newest === view) {
            return;
        }
        view = newest;
        shareCounts.clear();
        const viewMilliseconds = clock.getMonotonicMilliseconds() - state.getFleetAgeMilliseconds();
        for (const limit of newest?.limits ?? []) {
            const { instanceId, holderIds, holderCount } = limit;
            const timeMilliseconds = viewMilliseconds - limit.ageMilliseconds;
            const isHolder = holderIds.length === 0 || holderIds.includes(entryId);
            shareCounts.set(instanceId, isHolder ? holderCount : Infinity);
            if (timeMilliseconds > (records.get(instanceId)?.timeMilliseconds ?? -Infinity)) {
                setLimit(instanceId, limit.requestsPerSecond || undefined, timeMilliseconds, undefined);
            }
        }
    }

    /** Gets the requests a second that this entry process may send; undefined where there is no limit. */
    function getOwnRate(instanceId: string): number | undefined {
        readView();
        const requestsPerSecond = records.get(instanceId)?.requestsPerSecond;
        return requestsPerSecond && requestsPerSecond / (shareCounts.get(instanceId) ?? state.getEntryCount());
    }

    function getWaitMilliseconds(instanceId: string): number {
        const rate = getOwnRate(instanceId);
        if (rate === undefined) {
            return 0;
        }
        const available = records.get(instanceId)!.bucket.getAvailable(rate, bucketCapacity) + roundingTolerance;
        if (available >= 1) {
            return 0;
        }
        return rate === 0 ? noShareWaitMilliseconds : (1 - available) / rate * millisecondsPerSecond;
    }

    function tryTake(instanceId: string): boolean {
        const isAvailable = getWaitMilliseconds(instanceId) === 0;
        if (isAvailable) {
            records.get(instanceId)?.bucket.take(1);
        }
        return isAvailable;
    }

    function giveBack(instanceId: string): void {
        records.get(instanceId)?.bucket.take(-1);
    }

    function getStatements(): readonly LimitStatement[] {
        readView();
        const now = clock.getMonotonicMilliseconds();
        return [...records.entries()].flatMap(([instanceId, record]) => {
            const ageMilliseconds = Math.round(now - record.timeMilliseconds);
            const isOutdated = record.requestsPerSecond === undefined && ageMilliseconds > endedLifetimeMilliseconds;
            if (isOutdated) {
                records.delete(instanceId);
            }
            return isOutdated || record.statementId === undefined ? [] : [{
                statementId: record.statementId,
                instanceId,
                requestsPerSecond: record.requestsPerSecond ?? 0,
                ageMilliseconds,
            }];
        });
    }
}
