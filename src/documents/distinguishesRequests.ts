/*
 * Whether a routing document asks for requests to be treated differently under contention.
 */
import { RoutingDocument } from "./RoutingDocument";

/**
 * Returns whether a document has several workspaces with a key, or several priorities; without either, all requests are
 * alike.
 * @param document - The routing document.
 */
export function distinguishesRequests({ routes, workspaces = [] }: RoutingDocument): boolean {
    const routePriorities = new Set(routes.map(({ priority }) => priority));
    return routePriorities.size > 1 || workspaces.filter(({ apiKeys }) => apiKeys.length > 0).length > 1;
}
