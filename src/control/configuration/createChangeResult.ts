/*
 * Converts the outcome of a change to a protocol message.
 */
import { create } from "@bufbuild/protobuf";
import { ConfigurationChangeResult, ConfigurationChangeResultSchema, ConfigurationOutcome } from "../../protocol";
import { ChangeOutcome } from "./ChangeOutcome";

/** Creates the protocol message for the outcome of a change. */
export function createChangeResult(outcome: ChangeOutcome): ConfigurationChangeResult {
    const { revision } = outcome;
    switch (outcome.kind) {
        case "accepted":
            return createResult(ConfigurationOutcome.ACCEPTED, revision, []);
        case "conflict":
            return createResult(ConfigurationOutcome.CONFLICT, revision, outcome.problems);
        case "invalid":
            return createResult(ConfigurationOutcome.INVALID, revision, outcome.problems);
    }
}

function createResult(
    outcome: ConfigurationOutcome,
    revision: bigint,
    problems: readonly string[],
): ConfigurationChangeResult {
    return create(ConfigurationChangeResultSchema, { outcome, revision, problems: [...problems] });
}
