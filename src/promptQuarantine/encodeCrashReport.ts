/*
 * Encodes crash reports for polls.
 */
import { create } from "@bufbuild/protobuf";
import { EngineCrash, EngineCrashSchema, PartCompletions, PartCompletionsSchema } from "../protocol";
import { CrashReport } from "./CrashReport";

/**
 * Encodes the fields of a poll that report crashes.
 * @param report - The report.
 */
export function encodeCrashReport(
    { incarnation, observations, completions }: CrashReport,
): { entryIncarnation: string; crashes: EngineCrash[]; partCompletions: PartCompletions[]; } {
    return {
        entryIncarnation: incarnation,
        crashes: observations.map(crash =>
            create(EngineCrashSchema, {
                ...crash,
                begunPartIds: [...crash.begunPartIds],
                waitingPartIds: [...crash.waitingPartIds],
            })
        ),
        partCompletions: [...completions].map(([partId, ages]) =>
            create(PartCompletionsSchema, { partId, agesMilliseconds: [...ages] })
        ),
    };
}
