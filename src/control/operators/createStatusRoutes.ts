/*
 * The endpoints that return the status of the system, its instances and the events that it recorded.
 */
import { QueryKind } from "../../protocol";
import { ControlClient } from "../ControlClient";
import { createQueryResponse } from "./createQueryResponse";
import { OperatorRole } from "./OperatorRole";
import { OperatorRoute } from "./OperatorRoute";

/**
 * Creates the endpoints of status, instances and events.
 * @param client - Runs queries.
 */
export function createStatusRoutes(client: ControlClient): readonly OperatorRoute[] {
    return [
        createRoute("/v1/status", QueryKind.STATUS),
        createRoute("/v1/instances", QueryKind.DIRECTORY),
        createRoute("/v1/events", QueryKind.EVENTS),
    ];

    function createRoute(path: string, kind: QueryKind): OperatorRoute {
        return {
            method: "GET",
            path,
            role: OperatorRole.Read,
            handle: request => createQueryResponse(client, request, kind, request.parameters.get("argument") ?? ""),
        };
    }
}
