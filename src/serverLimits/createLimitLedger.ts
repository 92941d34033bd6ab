/*
 * Joins what entry processes report of the limits of backend servers: the newest statement of a server counts, whichever
 * entry process heard it. A limit is shared equally by a few entry processes, chosen by rendezvous hashing, so that it is
 * kept without a call for each request.
 */
import { LRUCache } from "lru-cache";
import { SharedLimit } from "../fleet";
import { NodeRanking } from "../routing";
import { Clock } from "../runtime";
import { getHolderCount } from "./getHolderCount";
import { LimitLedger } from "./LimitLedger";
import { LimitStatement } from "./LimitStatement";

/** How long the end of a limit is distributed, in milliseconds: entry processes with an older statement learn of it. */
const endedLifetimeMilliseconds = 60_000;
/** The maximum number of backend servers with a limit, and of statements that are known by their ids. */
const maximumServers = 4_096;
const maximumKnownStatements = 16_384;

/** The newest statement of a backend server. */
interface ServerRecord {
    requestsPerSecond: number;
    timeMilliseconds: number;
}

/**
 * Creates a ledger without limits.
 * @param clock - Measures the age of statements.
 * @param ranking - Chooses the entry processes that share a limit.
 */
export function createLimitLedger(clock: Clock, ranking: NodeRanking): LimitLedger {
    const records = new LRUCache<string, ServerRecord>({ max: maximumServers });
    const knownStatements = new LRUCache<string, true>({ max: maximumKnownStatements });
    return { addStatement, getSharedLimits };

    function addStatement({ statementId, instanceId, requestsPerSecond, ageMilliseconds }: LimitStatement): void {
        if (knownStatements.get(statementId)) {
            return;
        }
        knownStatements.set(statementId, true);
        const timeMilliseconds = clock.getMonotonicMilliseconds() - ageMilliseconds;
        if (timeMilliseconds >= (records.get(instanceId)?.timeMilliseconds ?? -Infinity)) {
            records.set(instanceId, { requestsPerSecond, timeMilliseconds });
        }
    }

    function getSharedLimits(entryIds: readonly string[]): readonly SharedLimit[] {
        const now = clock.getMonotonicMilliseconds();
        for (const [instanceId, { requestsPerSecond, timeMilliseconds }] of records.entries()) {
            if (requestsPerSecond === 0 && now - timeMilliseconds > endedLifetimeMilliseconds) {
                records.delete(instanceId);
            }
        }
        return [...records.entries()]
            .map(([instanceId, record]) => ({ instanceId, ...record, ...getHolders(instanceId, record, entryIds) }))
            .sort((left, right) => left.instanceId < right.instanceId ? -1 : 1);
    }

    /** Gets the entry processes that share a backend server's limit. */
    function getHolders(
        instanceId: string,
        { requestsPerSecond }: ServerRecord,
        entryIds: readonly string[],
    ): Pick<SharedLimit, "holderCount" | "holderIds"> {
        const holderCount = getHolderCount(requestsPerSecond, entryIds.length);
        const holderIds = holderCount >= entryIds.length
            ? []
            : ranking.getHighest(instanceId, entryIds, entryId => entryId, holderCount);
        return { holderCount, holderIds: [...holderIds].sort() };
    }
}
