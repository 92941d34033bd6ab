/*
 * The leader's task that adds up the load that entry processes have caused, and distributes the sums. One entry process of
 * many sees too little of an engine's load to place prompts by it.
 */
import { ConsensusRole, ReplicatedLog } from "../control/consensus";
import { FactStore } from "../facts";
import { EntryRegistry } from "../feed";
import { Clock } from "../runtime";
import { addUpLoads } from "./addUpLoads";
import { fleetLoadFactKind } from "./fleetLoadFactKind";
import { ownLoadFactKind } from "./ownLoadFactKind";

/** The interval of the distribution, in milliseconds: about the time in which an engine prefills two long prompts. */
const distributionIntervalMilliseconds = 250;
/** The interval for each entry process, in milliseconds: each distribution costs the leader a response to all of them. */
const intervalPerEntryMilliseconds = 2;
const factKey = "fleet";

interface LoadDistributionOptions {
    /** The replicated log, whose leader distributes the load. */
    log: Pick<ReplicatedLog, "getStatus">;
    /** What the entry processes have reported to this member, and what it distributes. */
    facts: FactStore;
    /** The active entry processes. */
    entryRegistry: Pick<EntryRegistry, "getCount">;
    /** The clock. */
    clock: Clock;
    /** Stops the task. */
    signal: AbortSignal;
}

/**
 * Distributes the load while this member is the leader, until the signal stops the task.
 * @param options - The options of the task.
 */
export async function runLoadDistribution(options: LoadDistributionOptions): Promise<void> {
    const { log, facts, entryRegistry, clock, signal } = options;
    while (!signal.aborted) {
        if (log.getStatus().role === ConsensusRole.Leader) {
            distribute();
        }
        await clock.sleep(
            Math.max(distributionIntervalMilliseconds, intervalPerEntryMilliseconds * entryRegistry.getCount()),
            signal,
        );
    }

    function distribute(): void {
        const reports = facts.getAll(ownLoadFactKind);
        if (reports.length === 0) {
            return;
        }
        const sums = addUpLoads(reports.flatMap(({ value }) => value));
        const now = clock.getMonotonicMilliseconds();
        const totalAge = reports.reduce((total, { timeMilliseconds }) => total + now - timeMilliseconds, 0);
        facts.publish(fleetLoadFactKind, factKey, sums, totalAge / reports.length);
    }
}
