/*
 * The endpoints of the configuration tree.
 */
import { create } from "@bufbuild/protobuf";
import {
    Command,
    CommandSchema,
    ConfigurationChangeSchema,
    ConfigurationOperation,
    ConfigurationOperationSchema,
    QueryKind,
} from "../../protocol";
import { HistoryQuery } from "../configuration";
import { ControlClient } from "../ControlClient";
import { ConfigurationChangeBody } from "./ConfigurationChangeBody";
import { configurationChangeBodySchema } from "./configurationChangeBodySchema";
import { ControlOperations } from "./ControlOperations";
import { createBodyCheck } from "./createBodyCheck";
import { createConfigurationChangeResponse } from "./createConfigurationChangeResponse";
import { createConfigurationPlanRoute } from "./createConfigurationPlanRoute";
import { createErrorResponse } from "./createErrorResponse";
import { createExecutionFailureResponse } from "./createExecutionFailureResponse";
import { createQueryResponse } from "./createQueryResponse";
import { getIntegerParameter } from "./getIntegerParameter";
import { InForceReport } from "./InForceReport";
import { OperatorRequest } from "./OperatorRequest";
import { OperatorResponse } from "./OperatorResponse";
import { OperatorRole } from "./OperatorRole";
import { OperatorRoute } from "./OperatorRoute";
import { waitForAbort } from "./waitForAbort";

const maximumWaitMilliseconds = 60_000;

/**
 * Creates the endpoints of the configuration tree.
 * @param client - Commits commands and runs queries.
 * @param operations - Waits until a revision is in force.
 */
export function createConfigurationRoutes(
    client: ControlClient,
    operations: ControlOperations,
): readonly OperatorRoute[] {
    const checkChangeBody = createBodyCheck(configurationChangeBodySchema);
    return [
        { method: "GET", path: "/v1/configuration", role: OperatorRole.Read, handle: getLevel },
        { method: "GET", path: "/v1/configuration/history", role: OperatorRole.Read, handle: getHistory },
        { method: "GET", path: "/v1/configuration/difference", role: OperatorRole.Read, handle: getDifference },
        { method: "GET", path: "/v1/configuration/status", role: OperatorRole.Read, handle: getStatus },
        {
            method: "GET",
            path: "/v1/configuration/in-force",
            role: OperatorRole.Read,
            isLongPoll: true,
            handle: waitInForce,
        },
        createConfigurationPlanRoute(client),
        { method: "POST", path: "/v1/configuration/changes", role: OperatorRole.Change, handle: changeConfiguration },
    ];

    function getLevel(request: OperatorRequest): Promise<OperatorResponse> {
        const { parameters } = request;
        const argument = { level: parameters.get("level") ?? "/", isSubtree: parameters.get("subtree") === "true" };
        return createQueryResponse(client, request, QueryKind.CONFIGURATION, JSON.stringify(argument));
    }

    function getHistory(request: OperatorRequest): Promise<OperatorResponse> {
        const { parameters } = request;
        const argument: HistoryQuery = {
            kind: "page",
            before: getIntegerParameter(parameters, "before"),
            limit: getIntegerParameter(parameters, "limit"),
            level: parameters.get("level") ?? undefined,
        };
        return createQueryResponse(client, request, QueryKind.HISTORY, JSON.stringify(argument));
    }

    async function getDifference(request: OperatorRequest): Promise<OperatorResponse> {
        const from = getIntegerParameter(request.parameters, "from");
        if (from === undefined) {
            return createErrorResponse(422, "invalid", "The parameter from must be a revision");
        }
        const argument: HistoryQuery = { kind: "difference", from, to: getIntegerParameter(request.parameters, "to") };
        return createQueryResponse(client, request, QueryKind.HISTORY, JSON.stringify(argument));
    }

    /** Gets the newest configuration revision, and the instances with the revision that each of them uses. */
    async function getStatus(request: OperatorRequest): Promise<OperatorResponse> {
        const configuration = await createQueryResponse(client, request, QueryKind.CONFIGURATION, "/");
        if (configuration.status !== 200) {
            return configuration;
        }
        const directory = await createQueryResponse(client, request, QueryKind.DIRECTORY, "");
        if (directory.status !== 200) {
            return directory;
        }
        const { revision } = configuration.body as { revision: number; };
        return { status: 200, body: { revision, instances: directory.body } };
    }

    async function waitInForce(request: OperatorRequest): Promise<OperatorResponse> {
        const revision = getIntegerParameter(request.parameters, "revision");
        if (revision === undefined) {
            return createErrorResponse(422, "invalid", "The parameter revision must be a revision");
        }
        const waitMilliseconds = Math.min(
            getIntegerParameter(request.parameters, "waitMilliseconds") ?? 0,
            maximumWaitMilliseconds,
        );
        const report = await Promise.race([
            operations.waitInForce(BigInt(revision), waitMilliseconds),
            waitForAbort(request.signal).then((): InForceReport => ({ kind: "noLeader" })),
        ]);
        switch (report.kind) {
            case "inForce":
                return { status: 200, body: { revision, isInForce: true, waitingFor: [] } };
            case "pending":
                return { status: 202, body: { revision, isInForce: false, waitingFor: report.waitingFor } };
            case "noLeader":
                return createErrorResponse(503, "no_leader", "No leader could be asked what is in force");
        }
    }

    async function changeConfiguration(request: OperatorRequest): Promise<OperatorResponse> {
        const refusal = checkChangeBody(request.body);
        if (refusal !== undefined) {
            return refusal;
        }
        const command = createChangeCommand(request.body as ConfigurationChangeBody, request.operatorName);
        const executed = await client.execute(command, request.signal);
        if (executed.kind !== "committed") {
            return createExecutionFailureResponse(executed, request.signal);
        }
        const { result } = executed.result;
        return result.case === "configuration"
            ? createConfigurationChangeResponse(result.value)
            : createErrorResponse(500, "unknown_outcome", "The control members gave no outcome of the change");
    }
}

function createChangeCommand(
    { changeId, expectedRevision, operations }: ConfigurationChangeBody,
    author: string,
): Command {
    const value = create(ConfigurationChangeSchema, {
        changeId,
        expectedRevision: BigInt(expectedRevision),
        author,
        operations: operations.map(createOperation),
    });
    return create(CommandSchema, { command: { case: "configuration", value } });
}

function createOperation(operation: ConfigurationChangeBody["operations"][number]): ConfigurationOperation {
    const { level, setting, removeLevel, value } = operation;
    // Only an absent value unsets the setting; a value of null is passed on, and the tree refuses it.
    const json = Object.hasOwn(operation, "value") ? JSON.stringify(value) : undefined;
    return create(ConfigurationOperationSchema, { level, setting, removeLevel, value: json });
}
