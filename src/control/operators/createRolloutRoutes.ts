/*
 * The endpoints of rollouts.
 */
import { create, toJson } from "@bufbuild/protobuf";
import { CommandSchema, QueryKind, RolloutControlSchema, RolloutResultSchema, RolloutState } from "../../protocol";
import { JsonSchema } from "../../settings/validation";
import { ControlClient } from "../ControlClient";
import { createBodyCheck } from "./createBodyCheck";
import { createErrorResponse } from "./createErrorResponse";
import { createExecutionFailureResponse } from "./createExecutionFailureResponse";
import { createQueryResponse } from "./createQueryResponse";
import { OperatorRequest } from "./OperatorRequest";
import { OperatorResponse } from "./OperatorResponse";
import { OperatorRole } from "./OperatorRole";
import { OperatorRoute } from "./OperatorRoute";

const controlBodySchema: JsonSchema = {
    type: "object",
    additionalProperties: false,
    required: ["model"],
    properties: { model: { type: "string", minLength: 1, maxLength: 128 } },
};

/**
 * Creates the endpoints that list, pause and resume rollouts.
 * @param client - Commits commands and runs queries.
 */
export function createRolloutRoutes(client: ControlClient): readonly OperatorRoute[] {
    const checkControlBody = createBodyCheck(controlBodySchema);
    return [
        { method: "GET", path: "/v1/rollouts", role: OperatorRole.Read, handle: getRollouts },
        createStateRoute("/v1/rollouts/pause", RolloutState.PAUSED),
        createStateRoute("/v1/rollouts/resume", RolloutState.RUNNING),
    ];

    function getRollouts(request: OperatorRequest): Promise<OperatorResponse> {
        return createQueryResponse(client, request, QueryKind.ROLLOUTS, "");
    }

    function createStateRoute(path: string, state: RolloutState): OperatorRoute {
        return { method: "POST", path, role: OperatorRole.Change, handle: request => setRolloutState(request, state) };
    }

    async function setRolloutState(request: OperatorRequest, state: RolloutState): Promise<OperatorResponse> {
        const refusal = checkControlBody(request.body);
        if (refusal !== undefined) {
            return refusal;
        }
        const { model } = request.body as { model: string; };
        const value = create(RolloutControlSchema, { model, state, author: request.operatorName });
        const command = create(CommandSchema, { command: { case: "rolloutControl", value } });
        const executed = await client.execute(command, request.signal);
        if (executed.kind !== "committed") {
            return createExecutionFailureResponse(executed, request.signal);
        }
        const { result } = executed.result;
        if (result.case !== "rollout") {
            return createErrorResponse(500, "unknown_outcome", "The control members gave no outcome of the change");
        }
        return { status: result.value.accepted ? 200 : 409, body: toJson(RolloutResultSchema, result.value) };
    }
}
