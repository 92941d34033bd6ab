/*
 * The endpoint that works out what applying a configuration file would do.
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
import { createBodyCheck } from "./createBodyCheck";
import { createErrorResponse } from "./createErrorResponse";
import { createQueryResponse } from "./createQueryResponse";
import { OperatorRequest } from "./OperatorRequest";
import { OperatorResponse } from "./OperatorResponse";
import { OperatorRole } from "./OperatorRole";
import { OperatorRoute } from "./OperatorRoute";
import { PlanResponse } from "./PlanResponse";

/** The body of a request for a plan. */
interface PlanBody {
    /** The path of the file's highest level; the root where absent. */
    level?: string;
    /** The file's content. */
    tree: unknown;
}

const planBodySchema: JsonSchema = {
    type: "object",
    additionalProperties: false,
    required: ["tree"],
    properties: { level: { type: "string", maxLength: 256 }, tree: {} },
};

/** Creates the endpoint; it changes nothing. */
export function createPlanRoute(client: ControlClient): OperatorRoute {
    const checkBody = createBodyCheck(planBodySchema);
    return { method: "POST", path: "/v1/configuration/plan", role: OperatorRole.Read, answer };

    async function answer(request: OperatorRequest): Promise<OperatorResponse> {
        const refusal = checkBody(request.body);
        if (refusal !== undefined) {
            return refusal;
        }
        const { level = rootLevelPath, tree } = request.body as PlanBody;
        const wanted = parseConfigurationFile(tree, level);
        if (wanted.kind !== "read") {
            const problems = wanted.kind === "invalid" ? wanted.problems.map(formatValueProblem) : [wanted.reason];
            return createErrorResponse(422, "invalid", "The configuration is not valid", problems);
        }
        const argument = JSON.stringify({ level, isSubtree: true });
        const response = await createQueryResponse(client, request, QueryKind.CONFIGURATION, argument);
        return response.status === 200
            ? { status: 200, body: createPlan(response.body as ConfigurationQueryResult, wanted.levels) }
            : response;
    }
}

function createPlan(
    { revision, levels = {} }: ConfigurationQueryResult,
    wanted: ReadonlyMap<string, LevelSettings>,
): PlanResponse {
    const current = new Map(Object.entries(levels));
    const operations = planConfiguration(current, wanted).map(({ level, value, removeLevel }) => {
        return removeLevel ? { level, removeLevel } : { level, value: JSON.parse(value!) as unknown };
    });
    const paths = [...new Set([...current.keys(), ...wanted.keys()])];
    const differences = getSettingDifferences(paths.map(level => {
        return { level, before: formatOptional(current.get(level)), after: formatOptional(wanted.get(level)) };
    }));
    return { revision, operations, differences };
}

function formatOptional(settings: LevelSettings | undefined): string | undefined {
    return settings === undefined ? undefined : formatLevelSettings(settings);
}
