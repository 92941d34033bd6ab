/*
 * The conditions under which an attempt may run.
 */
import { createCacheSalt } from "../backends";
import { WorkspaceEntry } from "../documents";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { BackendAttempt } from "./BackendAttempt";
import { ForwardingTask } from "./ForwardingTask";

/** The part of a backend server's connections that entries use together. */
const usedConnectionPart = 0.8;
/** The connections that an entry may hold at least, however many entries there are. */
const leastConnections = 4;
/** The ranks of priority that engines know. */
const lowestPriority = 9;
/** How many ranks of routes lie in each rank of workspaces. */
const routeRanks = 3;

type AttemptTerms = Pick<
    BackendAttempt,
    "maximumConnections" | "workspace" | "priority" | "weightsVersion" | "cacheSalt" | "keptCacheAddress"
>;

/**
 * Gets the terms of an attempt.
 * @param task - The request.
 * @param instance - Where it is sent.
 * @param entryCount - How many entries share the backend server's connections.
 */
export function getAttemptTerms(task: ForwardingTask, instance: FleetInstance, entryCount: number): AttemptTerms {
    const { request: { prompt }, admission: { service, route, workspace, table } } = task;
    const share = Math.floor(usedConnectionPart * service.maximumConnections / entryCount);
    const weightsVersion = prompt && getWeightsVersion(instance, prompt.model);
    const caches = service.kind === "engine" && weightsVersion !== undefined;
    const keptCaches = table.getKeptCaches();
    const keptCache = keptCaches.find(cache => cache.dataCentre === instance.dataCentre) ?? keptCaches[0];
    return {
        maximumConnections: Math.max(leastConnections, share),
        workspace: workspace?.name,
        priority: Math.min(lowestPriority, (workspace?.priority ?? 0) * routeRanks + route.priority),
        weightsVersion: caches ? weightsVersion : undefined,
        cacheSalt: caches ? getSalt(prompt!.model, weightsVersion, workspace) : undefined,
        keptCacheAddress: caches ? keptCache?.address : undefined,
    };
}

/** Gets the text under which parts are cached: other weights and isolated workspaces have texts of their own. */
function getSalt(model: string, weightsVersion: number, workspace: WorkspaceEntry | undefined): string {
    const scopeWorkspace = workspace?.isIsolated ? workspace.name : "";
    return createCacheSalt({ workspace: scopeWorkspace, model, version: String(weightsVersion) });
}
