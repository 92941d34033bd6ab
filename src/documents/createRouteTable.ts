/*
 * Indexes a routing document. The cost of a route lookup does not depend on the number of routes: for each slash of the
 * path, from the last to the first, the prefix that ends there is looked up in the map of the host.
 */
import { createCacheScopes } from "./createCacheScopes";
import { DocumentWorkspace } from "./DocumentWorkspace";
import { Route } from "./Route";
import { RouteTable } from "./RouteTable";
import { RoutingDocument } from "./RoutingDocument";

/**
 * Creates the route table of a document.
 * @param document - A document without problems according to getDocumentProblem.
 */
export function createRouteTable(document: RoutingDocument): RouteTable {
    const routesByHost = new Map<string, Map<string, Route>>();
    for (const route of document.routes) {
        const host = route.host.toLowerCase();
        const prefixes = routesByHost.get(host) ?? new Map<string, Route>();
        prefixes.set(route.pathPrefix, route);
        routesByHost.set(host, prefixes);
    }
    const services = new Map(document.services.map(service => [service.name, service]));
    const workspacesByKey = new Map<string, DocumentWorkspace>();
    for (const workspace of document.workspaces ?? []) {
        workspace.apiKeys.forEach(key => workspacesByKey.set(key, workspace));
    }
    const kvCacheStores = document.services.filter(service => service.kind === "keptCache");
    return {
        document,
        getRoute,
        getService: name => services.get(name),
        getWorkspace: apiKey => workspacesByKey.get(apiKey),
        getCacheScope: createCacheScopes(document.workspaces ?? []),
        getKvCacheStores: () => kvCacheStores,
    };

    function getRoute(host: string, path: string): Route | undefined {
        const prefixes = routesByHost.get(host.toLowerCase());
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
