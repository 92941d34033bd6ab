/*
 * What load shedding goes by, from an admitted request and the routing document under which it was admitted.
 */
import { distinguishesRequests, RoutingDocument } from "../documents";
import { ForwardingTask } from "./ForwardingTask";
import { getUrgency } from "./getUrgency";
import { SheddingDemand } from "./SheddingDemand";

/** The kinds of requests that a service serves. */
interface ServiceOrder {
    /** The different urgencies. */
    urgencies: readonly number[];
    shortestTargetMilliseconds: number;
}

/** The orders of the services of the documents in use. */
const orders = new WeakMap<RoutingDocument, Map<string, ServiceOrder>>();

/**
 * Gets the demand of a request; undefined where the routing document does not distinguish requests, so that none is shed.
 * @param task - The request.
 * @param nowMilliseconds - The time, on the monotonic clock.
 */
export function getSheddingDemand(task: ForwardingTask, nowMilliseconds: number): SheddingDemand | undefined {
    const { request, admission: { table: { document }, route, service, workspace } } = task;
    if (!distinguishesRequests(document)) {
        return undefined;
    }
    const { urgencies, shortestTargetMilliseconds } = getServiceOrder(document, service.name);
    const ownUrgency = getUrgency(workspace, route);
    const isEngine = service.kind === "engine";
    return {
        service: service.name,
        workspace: workspace?.name ?? "",
        rank: urgencies.filter(urgency => urgency < ownUrgency).length,
        targetMilliseconds: route.targetLatencyMilliseconds,
        shortestTargetMilliseconds,
        remainingMilliseconds: task.getEndMilliseconds() - nowMilliseconds,
        promptTokens: request.prompt?.promptTokens ?? 0,
        slots: isEngine && service.slots > 0 ? service.slots : undefined,
        memoryTokens: isEngine && service.kvCacheCapacityTokens > 0 ? service.kvCacheCapacityTokens : Infinity,
    };
}

function getServiceOrder(document: RoutingDocument, service: string): ServiceOrder {
    const known = orders.get(document) ?? new Map<string, ServiceOrder>();
    orders.set(document, known);
    const order = known.get(service) ?? createServiceOrder(document, service);
    known.set(service, order);
    return order;
}

function createServiceOrder({ routes, workspaces = [] }: RoutingDocument, service: string): ServiceOrder {
    const ownRoutes = routes.filter(({ services }) => services.some(({ service: name }) => name === service));
    const workspacePriorities = [...new Set(workspaces.map(({ priority }) => priority))];
    const urgencies = ownRoutes.flatMap(route =>
        (route.isPublic || workspaces.length === 0 ? [undefined] : workspacePriorities)
            .map(priority => getUrgency({ priority }, route))
    );
    const targets = ownRoutes.map(({ targetLatencyMilliseconds }) => targetLatencyMilliseconds);
    return { urgencies: [...new Set(urgencies)], shortestTargetMilliseconds: Math.min(...targets) };
}
