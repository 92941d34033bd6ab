/*
 * What load shedding goes by, from an admitted request and the routing document under which it was admitted.
 */
import { RoutingDocument } from "../documents";
import { ForwardingTask } from "./ForwardingTask";
import { SheddingDemand } from "./SheddingDemand";

/** The priorities of the routes to each service of the documents in use. */
const priorities = new WeakMap<RoutingDocument, Map<string, ReadonlySet<number>>>();

/**
 * Gets the demand of a request.
 * @param task - The request.
 * @param nowMilliseconds - The time, on the monotonic clock.
 */
export function getSheddingDemand(task: ForwardingTask, nowMilliseconds: number): SheddingDemand {
    const { request, admission: { table: { document }, route, service, workspace } } = task;
    const isEngine = service.kind === "engine";
    return {
        service: service.name,
        workspace: workspace?.name ?? "",
        rank: [...getPriorities(document, service.name)].filter(priority => priority < route.priority).length,
        shareWeight: workspace?.quota?.amountPerSecond ?? 1,
        targetMilliseconds: route.targetLatencyMilliseconds,
        remainingMilliseconds: task.getEndMilliseconds() - nowMilliseconds,
        promptTokens: request.prompt?.promptTokens ?? 0,
        slots: isEngine && service.slots > 0 ? service.slots : undefined,
        memoryTokens: isEngine && service.kvCacheCapacityTokens > 0 ? service.kvCacheCapacityTokens : Infinity,
    };
}

function getPriorities(document: RoutingDocument, service: string): ReadonlySet<number> {
    const known = priorities.get(document) ?? new Map<string, ReadonlySet<number>>();
    priorities.set(document, known);
    const ownRoutes = document.routes.filter(({ services }) => services.some(({ service: name }) => name === service));
    const own = known.get(service) ?? new Set(ownRoutes.map(({ priority }) => priority));
    known.set(service, own);
    return own;
}
