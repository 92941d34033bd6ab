/*
 * When requests with subjects that may have caused crashes ran to their end, as facts for the leader of the control members,
 * by the ids of the subjects.
 */
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { FactDistribution, FactKind } from "../facts";
import { SubjectCompletionsSchema } from "../protocol";
import { getSubjectLimits } from "./getSubjectLimits";
import { SubjectKind } from "./SubjectKind";

/** The kind of the facts on completions: how long before the fact each of the most recent ones was, in milliseconds. */
export const completionFactKind: FactKind<readonly number[]> = {
    name: "completion",
    lifetimeMilliseconds: getSubjectLimits(SubjectKind.Request).evidenceLifetimeMilliseconds,
    maximumCount: 8_192,
    distribution: FactDistribution.FewEntries,
    isUrgent: false,
    encode: ages =>
        toBinary(SubjectCompletionsSchema, create(SubjectCompletionsSchema, { agesMilliseconds: [...ages] })),
    decode: bytes => fromBinary(SubjectCompletionsSchema, bytes).agesMilliseconds,
    readFormerPoll: ({ subjectCompletions }, nowMilliseconds) =>
        subjectCompletions.map(({ subjectId, agesMilliseconds }) => ({
            key: subjectId,
            revision: BigInt(Math.max(0, Math.round(nowMilliseconds - Math.min(...agesMilliseconds)))),
            ageMilliseconds: 0,
            value: agesMilliseconds,
        })),
};
