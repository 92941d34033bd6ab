/*
 * The urgency of requests, from the priorities of the routing document.
 */
import { DocumentWorkspace, Route } from "../documents";

/** The number of route priorities within each workspace priority. */
const routePrioritiesPerWorkspace = 3;

/**
 * Gets the urgency of a workspace's requests to a route; 0 is the most urgent. The workspace's priority takes precedence.
 * @param workspace - The workspace; undefined where there is none.
 * @param route - The route.
 */
export function getUrgency(
    workspace: Pick<DocumentWorkspace, "priority"> | undefined,
    route: Pick<Route, "priority">,
): number {
    return (workspace?.priority ?? 0) * routePrioritiesPerWorkspace + route.priority;
}
