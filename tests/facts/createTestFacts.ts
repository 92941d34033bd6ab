import { factKinds } from "../../platform/roles/factKinds";
import { createFactHub, createFactStore, FactHub, FactKind, FactStore } from "../../src/facts";
import { createSilentLogger } from "../../src/logging";
import { createNodeRanking, NodeRanking } from "../../src/routing";
import { Clock } from "../../src/runtime";

/** Creates the facts of a process. */
export function createTestFactStore(
    clock: Clock,
    reporter = "entry-1 1",
    kinds: readonly FactKind<unknown>[] = factKinds,
): FactStore {
    return createFactStore({ kinds, reporter, clock, logger: createSilentLogger() });
}

interface TestFactHubOptions {
    clock: Clock;
    store: FactStore;
    storeId?: string;
    kinds?: readonly FactKind<unknown>[];
    getEntryIds?: () => readonly string[];
    ranking?: NodeRanking;
}

/** Creates the exchange of facts of a control member. */
export function createTestFactHub({ clock, store, storeId = "store-1", ...options }: TestFactHubOptions): FactHub {
    return createFactHub({
        store,
        storeId,
        kinds: factKinds,
        getEntryIds: () => ["entry-1"],
        ranking: createNodeRanking(),
        clock,
        ...options,
    });
}
