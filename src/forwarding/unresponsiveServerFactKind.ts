/*
 * The backend servers that do not respond, as facts for all entry processes, by the ids of the servers.
 */
import { FactDistribution, FactKind } from "../facts";

/** The kind of the facts on unresponsive backend servers; its values carry nothing, since a fact that holds says it all. */
export const unresponsiveServerFactKind: FactKind<true> = {
    name: "unresponsiveServer",
    lifetimeMilliseconds: 3_000,
    maximumCount: 1_024,
    distribution: FactDistribution.AllEntries,
    isUrgent: true,
    encode: () => new Uint8Array(),
    decode: () => true,
};
