/*
 * The rules that a routing document keeps beyond its shape.
 */
import { Route } from "./Route";
import { RoutingDocument } from "./RoutingDocument";

/**
 * Gets the first rule that a document breaks; undefined where it is valid.
 * @param document - The document.
 */
export function getDocumentProblem(document: RoutingDocument): string | undefined {
    return getServiceProblem(document) ?? getRoutesProblem(document) ?? getKeyProblem(document);
}

function getServiceProblem({ services }: RoutingDocument): string | undefined {
    const repeated = getDuplicate(services.map(service => service.name));
    return repeated === undefined ? undefined : `services: ${repeated} stands there twice`;
}

function getRoutesProblem({ routes, services }: RoutingDocument): string | undefined {
    const serviceNames = new Set(services.map(service => service.name));
    const repeated = getDuplicate(routes.map(route => `${route.host.toLowerCase()} ${route.pathPrefix}`));
    if (repeated !== undefined) {
        return `routes: two share the host and path ${repeated}`;
    }
    for (const route of routes) {
        const problem = getRouteProblem(route, serviceNames);
        if (problem !== undefined) {
            return `route ${route.name}: ${problem}`;
        }
    }
    return undefined;
}

function getRouteProblem(route: Route, serviceNames: ReadonlySet<string>): string | undefined {
    const unknown = route.services.find(({ service }) => !serviceNames.has(service));
    if (unknown) {
        return `there is no service ${unknown.service}`;
    }
    if (!route.services.some(({ weight }) => weight > 0)) {
        return "the weights of its services add up to 0";
    }
    if (!route.pathPrefix.startsWith("/") || !route.pathPrefix.endsWith("/")) {
        return "its path prefix must begin and end with a slash";
    }
    return route.timeoutMilliseconds > 0 ? undefined : "its timeout must be above 0";
}

function getKeyProblem({ workspaces }: RoutingDocument): string | undefined {
    const owners = new Map<string, string>();
    for (const { name, apiKeys } of workspaces ?? []) {
        for (const key of apiKeys) {
            const owner = owners.get(key);
            if (owner !== undefined && owner !== name) {
                return `workspaces: ${owner} and ${name} share a key`;
            }
            owners.set(key, name);
        }
    }
    const repeated = getDuplicate((workspaces ?? []).map(workspace => workspace.name));
    return repeated === undefined ? undefined : `workspaces: ${repeated} stands there twice`;
}

/** Gets the first name that stands in a list twice. */
function getDuplicate(names: readonly string[]): string | undefined {
    const seen = new Set<string>();
    return names.find(name => seen.size === seen.add(name).size);
}
