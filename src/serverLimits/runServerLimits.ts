/*
 * The leader's task that divides the limits of backend servers among the entry processes.
 */
import { ConsensusRole, ReplicatedLog } from "../control/consensus";
import { FactStore } from "../facts";
import { EntryRegistry } from "../feed";
import { FleetTracker } from "../fleet";
import { Clock } from "../runtime";
import { LimitLedger } from "./LimitLedger";
import { readLimitFacts } from "./readLimitFacts";

/**
 * The interval between two divisions, in milliseconds. Each change sends the fleet view to all entry processes, and a
 * backend server may name another limit with each response.
 */
const divisionIntervalMilliseconds = 200;

interface ServerLimitsTaskOptions {
    /** The replicated log, whose leader divides the limits. */
    log: Pick<ReplicatedLog, "getStatus">;
    /** What the entry processes have reported to this member. */
    facts: FactStore;
    /** Joins the reports. */
    ledger: LimitLedger;
    /** The active entry processes. */
    entryRegistry: EntryRegistry;
    /** Shows the limits to the entry processes. */
    fleetTracker: Pick<FleetTracker, "getInstances" | "setServerLimits">;
    /** The clock. */
    clock: Clock;
    /** Stops the task. */
    signal: AbortSignal;
}

/**
 * Divides the limits while this member is the leader, until the signal stops the task.
 * @param options - The options of the task.
 */
export async function runServerLimits(options: ServerLimitsTaskOptions): Promise<void> {
    const { log, facts, ledger, entryRegistry, fleetTracker, clock, signal } = options;
    let readPosition = -1;
    while (!signal.aborted) {
        if (facts.getPosition() !== readPosition) {
            readPosition = facts.getPosition();
            readLimitFacts(facts, ledger, clock);
        }
        if (log.getStatus().role === ConsensusRole.Leader) {
            const limits = ledger.getSharedLimits(entryRegistry.getIds());
            const listedIds = limits.length > 0
                ? new Set(fleetTracker.getInstances().map(({ instanceId }) => instanceId))
                : new Set();
            fleetTracker.setServerLimits(limits.filter(({ instanceId }) => listedIds.has(instanceId)));
        }
        await clock.sleep(divisionIntervalMilliseconds, signal);
    }
}
