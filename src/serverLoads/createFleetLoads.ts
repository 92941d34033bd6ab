/*
 * Shares the load of engines among entry processes. The leader distributes sums over all of them, from which each one
 * subtracts what it had reported itself at that time.
 */
import { Fact, FactStore } from "../facts";
import { Clock } from "../runtime";
import { fleetLoadFactKind } from "./fleetLoadFactKind";
import { FleetLoads } from "./FleetLoads";
import { ownLoadFactKind } from "./ownLoadFactKind";
import { ServerLoad } from "./ServerLoad";

const factKey = "own";
/** The number of own reports that are kept: the sums that arrive next may contain any of them. */
const keptReports = 6;

type LoadsByInstance = ReadonlyMap<string, ServerLoad>;

interface OwnReport {
    timeMilliseconds: number;
    loads: LoadsByInstance;
}

/**
 * Creates the shared load at an entry process.
 * @param facts - The facts of the entry process.
 * @param clock - The clock of the facts.
 */
export function createFleetLoads(facts: FactStore, clock: Clock): FleetLoads {
    let ownReports: readonly OwnReport[] = [];
    let sums: Fact<LoadsByInstance> | undefined;
    let ownInSums: LoadsByInstance = new Map();
    facts.addListener(({ name }) => {
        if (name === fleetLoadFactKind.name) {
            readSums();
        }
    });
    return { getOthers, reportOwn };

    function readSums(): void {
        const newest = [...facts.getAll(fleetLoadFactKind)]
            .sort((left, right) => right.timeMilliseconds - left.timeMilliseconds)[0];
        if (newest) {
            const { timeMilliseconds } = newest;
            sums = { ...newest, value: getByInstance(newest.value) };
            ownInSums = ownReports.findLast(report => report.timeMilliseconds <= timeMilliseconds)?.loads ?? new Map();
        }
    }

    function getOthers(instanceId: string): (ServerLoad & { ageMilliseconds: number; }) | undefined {
        const ageMilliseconds = clock.getMonotonicMilliseconds() - (sums?.timeMilliseconds ?? -Infinity);
        if (!sums || ageMilliseconds >= fleetLoadFactKind.lifetimeMilliseconds) {
            return undefined;
        }
        const sum = sums.value.get(instanceId);
        const own = ownInSums.get(instanceId);
        return {
            instanceId,
            requestCount: Math.max(0, (sum?.requestCount ?? 0) - (own?.requestCount ?? 0)),
            pendingPrefillTokens: Math.max(0, (sum?.pendingPrefillTokens ?? 0) - (own?.pendingPrefillTokens ?? 0)),
            promptTokens: Math.max(0, (sum?.promptTokens ?? 0) - (own?.promptTokens ?? 0)),
            workWeight: Math.max(0, (sum?.workWeight ?? 0) - (own?.workWeight ?? 0)),
            weightedWork: Math.max(0, (sum?.weightedWork ?? 0) - (own?.weightedWork ?? 0)),
            ageMilliseconds,
        };
    }

    function reportOwn(loads: readonly ServerLoad[]): void {
        if (loads.length === 0 && !facts.getOwn(ownLoadFactKind, factKey)?.value.length) {
            return;
        }
        facts.publish(ownLoadFactKind, factKey, loads);
        const report = { timeMilliseconds: clock.getMonotonicMilliseconds(), loads: getByInstance(loads) };
        ownReports = [...ownReports, report].slice(-keptReports);
    }
}

function getByInstance(loads: readonly ServerLoad[]): LoadsByInstance {
    return new Map(loads.map(load => [load.instanceId, load]));
}
