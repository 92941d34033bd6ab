import { create } from "@bufbuild/protobuf";
import {
    Command,
    CommandSchema,
    ConfigurationChange,
    ConfigurationChangeResult,
    ConfigurationChangeSchema,
} from "../../../src/protocol";

/** An operation in the form that tests use; the value is any JSON value, not its text. */
export interface TestOperation {
    level: string;
    setting?: string;
    value?: unknown;
    removeLevel?: boolean;
}

/** A change in the form that tests use; the author is `anne` if absent. */
export interface TestChange {
    changeId: string;
    expectedRevision: bigint;
    author?: string;
    operations: readonly TestOperation[];
}

/** Creates the protocol message of a change. */
export function createTestChange(change: TestChange): ConfigurationChange {
    return create(ConfigurationChangeSchema, {
        changeId: change.changeId,
        expectedRevision: change.expectedRevision,
        author: change.author ?? "anne",
        operations: change.operations.map(({ level, setting, value, removeLevel }) => {
            return { level, setting, value: value === undefined ? undefined : JSON.stringify(value), removeLevel };
        }),
    });
}

/** Creates the command that contains a change. */
export function createTestCommand(change: TestChange): Command {
    return create(CommandSchema, { command: { case: "configuration", value: createTestChange(change) } });
}

/** Applies a change to a configuration part and returns the result. */
export function applyTestChange(
    part: { apply(command: Command, context: { term: bigint; index: bigint; timeMilliseconds: number; }): unknown; },
    change: TestChange,
    index = 1n,
): ConfigurationChangeResult {
    const context = { term: 1n, index, timeMilliseconds: 1_000 + Number(index) };
    const result = part.apply(createTestCommand(change), context) as { value: ConfigurationChangeResult; };
    return result.value;
}
