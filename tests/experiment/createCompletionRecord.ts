/*
 * Creates records of completions for tests.
 */
import { PriorityName } from "../../src/control/configuration";
import { RequestRecord } from "../../src/experiment/client";

interface Changes extends Partial<Omit<RequestRecord, "request">> {
    workspace?: string;
    tokens?: number;
    arrivalMilliseconds?: number;
    isShort?: boolean;
}

/** Creates the record of a successful completion. */
export function createCompletionRecord(changes: Changes = {}): RequestRecord {
    const { arrivalMilliseconds = 0, isShort = true, tokens = 100, workspace = "first", ...rest } = changes;
    return {
        request: {
            kind: "completion",
            arrivalMilliseconds,
            subscriber: { workspace, team: "team", path: `/${workspace}/team/subscriber`, key: `key-of-${workspace}` },
            purpose: "label",
            isShort,
            parts: [{ id: "part", tokens }],
            maximumTokens: 1,
            priority: PriorityName.Interactive,
            isExcess: false,
        },
        outcome: "completed",
        code: "",
        runState: "yes",
        firstTokenMilliseconds: 10,
        interTokenMilliseconds: [],
        endMilliseconds: 100,
        promptTokens: tokens,
        cachedTokens: 0,
        completionTokens: 1,
        ...rest,
    };
}
