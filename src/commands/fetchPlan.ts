/*
 * Requests from the control members the plan of the changes that applying a configuration file would make.
 */
import { readFile } from "node:fs/promises";
import { parseConfigurationFile } from "../control/configuration";
import { ConfigurationPlanResponse } from "../control/operators";
import { getErrorMessage } from "../errors";
import { formatValueProblem, parseJsonText } from "../settings";
import { OperatorClient } from "./OperatorClient";
import { PlanOutcome } from "./PlanOutcome";

/**
 * Validates a configuration file and requests the plan of applying it.
 * @param client - Calls the control members.
 * @param file - The file's path.
 * @param level - The path of the highest level that the file describes.
 * @returns The plan, or the outcome that explains why there is none.
 */
export async function fetchPlan(client: OperatorClient, file: string, level: string): Promise<PlanOutcome> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        return createInvalidOutcome([getErrorMessage(error)]);
    }
    const parsed = parseJsonText(text);
    if (parsed.kind === "invalid") {
        return createInvalidOutcome([`${file}: ${formatValueProblem(parsed.problem)}`]);
    }
    const configuration = parseConfigurationFile(parsed.value, level);
    if (configuration.kind === "invalid") {
        return createInvalidOutcome(configuration.problems.map(problem => `${file}: ${formatValueProblem(problem)}`));
    }
    const callOutcome = await client.send({
        method: "POST",
        path: "/v1/configuration/plan",
        body: { level, tree: parsed.value },
        isRepeatable: true,
    });
    return callOutcome.kind === "answered" && callOutcome.status === 200
        ? { kind: "planned", plan: callOutcome.body as ConfigurationPlanResponse }
        : { kind: "failed", callOutcome };
}

function createInvalidOutcome(problems: readonly string[]): PlanOutcome {
    return { kind: "failed", callOutcome: { kind: "invalid", reason: problems.join("\n") } };
}
