/*
 * Indexes a routing document. Lookups cost no more with many routes: a path is cut at its slashes, and each cut is one
 * look into the map of its host.
 */
import { Route } from "./Route";
import { RouteTable } from "./RouteTable";
import { RoutingDocument } from "./RoutingDocument";
import { WorkspaceEntry } from "./WorkspaceEntry";

/**
 * Creates the table of a document.
 * @param document - A valid document.
 */
export function createRouteTable(document: RoutingDocument): RouteTable {
    const hosts = new Map<string, Map<string, Route>>();
    for (const route of document.routes) {
        const host = route.host.toLowerCase();
        const prefixes = hosts.get(host) ?? new Map<string, Route>();
        prefixes.set(route.pathPrefix, route);
        hosts.set(host, prefixes);
    }
    const services = new Map(document.services.map(service => [service.name, service]));
    const keyOwners = new Map<string, WorkspaceEntry>();
    for (const workspace of document.workspaces ?? []) {
        workspace.apiKeys.forEach(key => keyOwners.set(key, workspace));
    }
    const keptCaches = document.services.filter(service => service.kind === "keptCache");
    return {
        document,
        getRoute,
        getService: name => services.get(name),
        getWorkspace: apiKey => keyOwners.get(apiKey),
        getKeptCaches: () => keptCaches,
    };

    function getRoute(host: string, path: string): Route | undefined {
        const prefixes = hosts.get(host.toLowerCase());
        if (!prefixes) {
            return undefined;
        }
        for (let end = path.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : path.lastIndexOf("/", end - 1)) {
            const route = prefixes.get(path.slice(0, end + 1));
            if (route) {
                return route;
            }
        }
        return undefined;
    }
}
