/*
 * The load that one entry process has caused, as a fact for the leader of the control members.
 */
import { FactDistribution, FactKind } from "../facts";
import { decodeServerLoads } from "./decodeServerLoads";
import { encodeServerLoads } from "./encodeServerLoads";
import { ServerLoad } from "./ServerLoad";

/** The kind of the fact on an entry process's own requests; each entry process has one such fact. */
export const ownLoadFactKind: FactKind<readonly ServerLoad[]> = {
    name: "ownLoad",
    lifetimeMilliseconds: 1_500,
    maximumCount: 1_024,
    distribution: FactDistribution.Leader,
    isUrgent: false,
    encode: encodeServerLoads,
    decode: decodeServerLoads,
};
