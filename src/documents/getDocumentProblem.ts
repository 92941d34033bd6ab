/*
 * Validates the rules that a routing document must satisfy beyond its schema. The texts are returned to operators.
 */
import { Route } from "./Route";
import { RoutingDocument } from "./RoutingDocument";

/**
 * Gets a description of the first rule that a document violates; undefined if it is valid.
 * @param document - A document that has passed schema validation.
 */
export function getDocumentProblem(document: RoutingDocument): string | undefined {
    return getServiceProblem(document) ?? getRoutesProblem(document) ?? getKeyProblem(document);
}

function getServiceProblem({ services }: RoutingDocument): string | undefined {
    const duplicate = getDuplicate(services.map(service => service.name));
    return duplicate === undefined ? undefined : `services: ${duplicate} stands there twice`;
}

function getRoutesProblem({ routes, services }: RoutingDocument): string | undefined {
    const serviceNames = new Set(services.map(service => service.name));
    const duplicate = getDuplicate(routes.map(route => `${route.host.toLowerCase()} ${route.pathPrefix}`));
    if (duplicate !== undefined) {
        return `routes: two share the host and path ${duplicate}`;
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
    const unknownService = route.services.find(({ service }) => !serviceNames.has(service));
    if (unknownService) {
        return `there is no service ${unknownService.service}`;
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
    const duplicate = getDuplicate((workspaces ?? []).map(workspace => workspace.name));
    return duplicate === undefined ? undefined : `workspaces: ${duplicate} stands there twice`;
}

/** Gets the first name that occurs a second time in a list. */
function getDuplicate(names: readonly string[]): string | undefined {
    const seen = new Set<string>();
    return names.find(name => seen.size === seen.add(name).size);
}
