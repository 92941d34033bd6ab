/*
 * Asks the control members what a configuration file would change.
 */
import { readFile } from "node:fs/promises";
import { parseConfigurationFile } from "../control/configuration";
import { ConfigurationPlanResponse } from "../control/operators";
import { getErrorMessage } from "../errors";
import { formatValueProblem, parseJsonText } from "../settings";
import { OperatorClient } from "./OperatorClient";
import { PlanOutcome } from "./PlanOutcome";

/**
 * Checks a file and asks for the plan of its application.
 * @param client - Calls the control members.
 * @param file - The file's path.
 * @param level - The path of the file's highest level.
 */
export async function fetchPlan(client: OperatorClient, file: string, level: string): Promise<PlanOutcome> {
    let text: string;
    try {
        text = await readFile(file, "utf8");
    }
    catch (error) {
        return createInvalid([getErrorMessage(error)]);
    }
    const parsed = parseJsonText(text);
    if (parsed.kind === "invalid") {
        return createInvalid([`${file}: ${formatValueProblem(parsed.problem)}`]);
    }
    const checked = parseConfigurationFile(parsed.value, level);
    if (checked.kind === "invalid") {
        return createInvalid(checked.problems.map(problem => `${file}: ${formatValueProblem(problem)}`));
    }
    const answer = await client.send({
        method: "POST",
        path: "/v1/configuration/plan",
        body: { level, tree: parsed.value },
        isRepeatable: true,
    });
    return answer.kind === "answered" && answer.status === 200
        ? { kind: "planned", plan: answer.body as ConfigurationPlanResponse }
        : { kind: "failed", answer };
}

function createInvalid(problems: readonly string[]): PlanOutcome {
    return { kind: "failed", answer: { kind: "invalid", reason: problems.join("\n") } };
}
