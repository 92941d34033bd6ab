/*
 * The load that all entry processes together have caused, as a fact of the leader for all of them.
 */
import { FactDistribution, FactKind } from "../facts";
import { decodeServerLoads } from "./decodeServerLoads";
import { encodeServerLoads } from "./encodeServerLoads";
import { ServerLoad } from "./ServerLoad";

/** The kind of the fact on the requests of all entry processes; the leader has one such fact. */
export const fleetLoadFactKind: FactKind<readonly ServerLoad[]> = {
    name: "fleetLoad",
    lifetimeMilliseconds: 1_500,
    maximumCount: 8,
    distribution: FactDistribution.AllEntries,
    isUrgent: false,
    encode: encodeServerLoads,
    decode: decodeServerLoads,
};
