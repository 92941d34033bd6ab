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
    { observations, completions }: CrashReport,
): { crashes: EngineCrash[]; partCompletions: PartCompletions[]; } {
    return {
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
