/*
 * The endpoint that plans the changes that applying a configuration file would make.
 */
import { QueryKind } from "../../protocol";
import { formatValueProblem, JsonSchema } from "../../settings/validation";
import {
    ConfigurationQueryResult,
    formatLevelSettings,
    getSettingDifferences,
    LevelSettings,
    parseConfigurationFile,
    planConfiguration,
    rootLevelPath,
} from "../configuration";
import { ControlClient } from "../ControlClient";
import { ConfigurationPlanResponse } from "./ConfigurationPlanResponse";
import { createBodyCheck } from "./createBodyCheck";
import { createErrorResponse } from "./createErrorResponse";
import { createQueryResponse } from "./createQueryResponse";
import { OperatorRequest } from "./OperatorRequest";
import { OperatorResponse } from "./OperatorResponse";
import { OperatorRole } from "./OperatorRole";
import { OperatorRoute } from "./OperatorRoute";

/** The body of a request for a plan. */
interface PlanBody {
    /** The path of the file's top level; the root if absent. */
    level?: string;
    /** The content of the file. */
    tree: unknown;
}

const planBodySchema: JsonSchema = {
    type: "object",
    additionalProperties: false,
    required: ["tree"],
    properties: { level: { type: "string", maxLength: 256 }, tree: {} },
};

/**
 * Creates the endpoint, which makes no changes.
 * @param client - Queries the current configuration.
 */
export function createConfigurationPlanRoute(client: ControlClient): OperatorRoute {
    const checkBody = createBodyCheck(planBodySchema);
    return { method: "POST", path: "/v1/configuration/plan", role: OperatorRole.Read, handle };

    async function handle(request: OperatorRequest): Promise<OperatorResponse> {
        const refusal = checkBody(request.body);
        if (refusal !== undefined) {
            return refusal;
        }
        const { level = rootLevelPath, tree } = request.body as PlanBody;
        const desired = parseConfigurationFile(tree, level);
        if (desired.kind !== "read") {
            const problems = desired.kind === "invalid" ? desired.problems.map(formatValueProblem) : [desired.reason];
            return createErrorResponse(422, "invalid", "The configuration is not valid", problems);
        }
        const argument = JSON.stringify({ level, isSubtree: true });
        const response = await createQueryResponse(client, request, QueryKind.CONFIGURATION, argument);
        return response.status === 200
            ? { status: 200, body: createPlan(response.body as ConfigurationQueryResult, desired.levels) }
            : response;
    }
}

function createPlan(
    { revision, levels = {} }: ConfigurationQueryResult,
    desired: ReadonlyMap<string, LevelSettings>,
): ConfigurationPlanResponse {
    const current = new Map(Object.entries(levels));
    const operations = planConfiguration(current, desired).map(({ level, value, removeLevel }) => {
        return removeLevel ? { level, removeLevel } : { level, value: JSON.parse(value!) as unknown };
    });
    const paths = [...new Set([...current.keys(), ...desired.keys()])];
    const differences = getSettingDifferences(paths.map(level => {
        return { level, before: formatOptional(current.get(level)), after: formatOptional(desired.get(level)) };
    }));
    return { revision, operations, differences };
}

function formatOptional(settings: LevelSettings | undefined): string | undefined {
    return settings === undefined ? undefined : formatLevelSettings(settings);
}
