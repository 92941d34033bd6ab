/*
 * Whether a routing document asks for requests to be treated differently under contention.
 */
import { RoutingDocument } from "./RoutingDocument";

/** The answers for the documents in use, since each request asks. */
const answers = new WeakMap<RoutingDocument, boolean>();

/**
 * Returns whether a document has quotas, and several workspaces with a key or several priorities. Without quotas, callers are not
 * expected to compete; with one workspace and one priority, all requests are alike.
 * @param document - The routing document.
 */
export function distinguishesRequests(document: RoutingDocument): boolean {
    const answer = answers.get(document) ?? hasSeveralKinds(document);
    answers.set(document, answer);
    return answer;
}

function hasSeveralKinds({ routes, workspaces = [] }: RoutingDocument): boolean {
    if (!workspaces.some(({ quota }) => quota !== undefined)) {
        return false;
    }
    const routePriorities = new Set(routes.map(({ priority }) => priority));
    return routePriorities.size > 1 || workspaces.filter(({ apiKeys }) => apiKeys.length > 0).length > 1;
}
