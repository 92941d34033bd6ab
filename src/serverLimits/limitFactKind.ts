/*
 * What backend servers have said of their limits, as facts for the leader of the control members, by the ids of the servers.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { FactDistribution, FactKind } from "../facts";
import { LimitStatementSchema } from "../protocol";
import { LimitStatement } from "./LimitStatement";

/** The kind of the facts on limits. */
export const limitFactKind: FactKind<LimitStatement> = {
    name: "serverLimit",
    lifetimeMilliseconds: 600_000,
    maximumCount: 4_096,
    distribution: FactDistribution.FewEntries,
    isUrgent: false,
    encode: statement => toBinary(LimitStatementSchema, create(LimitStatementSchema, statement)),
    decode: bytes => fromBinary(LimitStatementSchema, bytes),
    readFormerPoll: ({ limitStatements }) =>
        limitStatements.map(statement => ({
            key: statement.instanceId,
            revision: BigInt(/\d+$/.exec(statement.statementId)?.[0] ?? 0),
            ageMilliseconds: statement.ageMilliseconds,
            value: statement,
        })),
};
