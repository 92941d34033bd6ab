/*
 * Computes the parameters of an attempt: its connections, its priority, and how it uses the cache.
 */
import { DocumentWorkspace, Route } from "../documents";
import { FleetInstance } from "../protocol";
import { BackendAttempt } from "./BackendAttempt";
import { CacheContext } from "./CacheContext";
import { ForwardingTask } from "./ForwardingTask";
import { getCacheUse } from "./getCacheUse";

/** The share of a backend server's connections that all entry processes together use. */
const usedConnectionShare = 0.8;
/** The minimum number of connections that an entry process may hold, however many processes there are. */
const minimumConnections = 4;
/** The number of route priorities within each workspace priority. */
const routePrioritiesPerWorkspace = 3;
/** The largest priority value that engines accept, which is the least urgent. */
const maximumPriority = 9;

/** What the parameters of an attempt depend on besides the request. */
interface AttemptContext extends CacheContext {
    /** The number of entry processes that share the backend server's connections. */
    entryCount: number;
}

type AttemptParameters = Pick<BackendAttempt, "maximumConnections" | "workspace" | "priority" | "cache">;

/**
 * Gets the parameters of an attempt.
 * @param task - The request.
 * @param instance - The backend server.
 * @param context - What the parameters depend on besides the request.
 */
export function getAttemptParameters(
    task: ForwardingTask,
    instance: FleetInstance,
    context: AttemptContext,
): AttemptParameters {
    const { admission: { service, route, workspace } } = task;
    const connectionShare = Math.floor(usedConnectionShare * service.maximumConnections / context.entryCount);
    return {
        maximumConnections: Math.max(minimumConnections, connectionShare),
        workspace: workspace?.name,
        priority: getPriority(workspace, route),
        cache: getCacheUse(task, instance, context),
    };
}

/** Gets the priority at engines; 0 is the most urgent. The workspace's priority takes precedence over the route's. */
function getPriority(workspace: DocumentWorkspace | undefined, route: Route): number {
    return Math.min(maximumPriority, (workspace?.priority ?? 0) * routePrioritiesPerWorkspace + route.priority);
}
