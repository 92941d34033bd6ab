/*
 * Finds what distinguishes a request before its body is read. Whether the request is allowed is decided later.
 */
import { distinguishesRequests, RouteTable } from "../documents";
import { RequestClass } from "./RequestClass";

/** The priority of requests without a route or a known key: they are refused once they are started, so any other is first. */
const lowestPriority = Number.MAX_SAFE_INTEGER;

/**
 * Gets the class of a request.
 * @param table - The routing document in force; undefined before the first one.
 * @param host - The request's host, without a port.
 * @param path - The request's path.
 * @param apiKey - The caller's API key.
 * @returns The class; undefined where the document does not distinguish requests.
 */
export function getRequestClass(
    table: RouteTable | undefined,
    host: string,
    path: string,
    apiKey: string | undefined,
): RequestClass | undefined {
    if (!table || !distinguishesRequests(table.document)) {
        return undefined;
    }
    const route = table.getRoute(host, path);
    const workspace = apiKey === undefined ? undefined : table.getWorkspace(apiKey);
    return {
        workspace: workspace?.name ?? "",
        workspacePriority: workspace ? workspace.priority ?? 0 : lowestPriority,
        routePriority: route?.priority ?? lowestPriority,
        targetLatencyMilliseconds: route?.targetLatencyMilliseconds ?? 0,
    };
}
