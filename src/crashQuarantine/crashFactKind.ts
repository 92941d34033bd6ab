/*
 * The crashes of backend servers, as facts for the leader of the control members, by the ids of their reports.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { FactDistribution, FactKind } from "../facts";
import { BackendCrashSchema } from "../protocol";
import { CrashDetails } from "./CrashDetails";
import { getSubjectLimits } from "./getSubjectLimits";
import { SubjectKind } from "./SubjectKind";

/** The kind of the facts on crashes. */
export const crashFactKind: FactKind<CrashDetails> = {
    name: "crash",
    lifetimeMilliseconds: getSubjectLimits(SubjectKind.Request).evidenceLifetimeMilliseconds,
    maximumCount: 512,
    distribution: FactDistribution.FewEntries,
    isUrgent: false,
    encode: ({ instanceId, begunSubjectIds, waitingSubjectIds }) =>
        toBinary(
            BackendCrashSchema,
            create(BackendCrashSchema, {
                instanceId,
                begunSubjectIds: [...begunSubjectIds],
                waitingSubjectIds: [...waitingSubjectIds],
            }),
        ),
    decode: bytes => fromBinary(BackendCrashSchema, bytes),
    readFormerPoll: ({ crashes }) =>
        crashes.map(crash => ({
            key: crash.reportId,
            revision: 1n,
            ageMilliseconds: crash.ageMilliseconds,
            value: crash,
        })),
};
