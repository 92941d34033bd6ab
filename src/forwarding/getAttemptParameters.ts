/*
 * The conditions under which an attempt may run.
 */
import { createCacheSalt } from "../backends";
import { DocumentWorkspace } from "../documents";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { BackendAttempt } from "./BackendAttempt";
import { CacheContext } from "./CacheContext";
import { ForwardingTask } from "./ForwardingTask";
import { getCacheAddresses } from "./getCacheAddresses";

/** The part of a backend server's connections that entries use together. */
const usedConnectionShare = 0.8;
/** The connections that an entry may hold at least, however many entries there are. */
const minimumConnections = 4;
/** The ranks of priority that engines know. */
const maximumPriority = 9;
/** How many ranks of routes lie in each rank of workspaces. */
const routePrioritiesPerWorkspace = 3;

/** What the terms of an attempt depend on beside the request. */
interface AttemptContext extends CacheContext {
    /** How many entries share the backend server's connections. */
    entryCount: number;
}

const noCacheAddresses = { fetchAddress: undefined, saveAddress: undefined };

type AttemptParameters = Pick<
    BackendAttempt,
    "maximumConnections" | "workspace" | "priority" | "weightsVersion" | "cacheSalt" | "fetchAddress" | "saveAddress"
>;

/**
 * Gets the terms of an attempt.
 * @param task - The request.
 * @param instance - Where it is sent.
 * @param context - What else the terms depend on.
 */
export function getAttemptParameters(
    task: ForwardingTask,
    instance: FleetInstance,
    context: AttemptContext,
): AttemptParameters {
    const { request: { prompt }, admission: { service, route, workspace, table } } = task;
    const storeAddresses = table.getKvCacheStores().map(cache => cache.address);
    const connectionShare = Math.floor(usedConnectionShare * service.maximumConnections / context.entryCount);
    const weightsVersion = prompt && getWeightsVersion(instance, prompt.model);
    const usesCache = service.kind === "engine" && weightsVersion !== undefined;
    const cacheSalt = usesCache ? getCacheSalt(prompt!.model, weightsVersion, workspace) : undefined;
    return {
        maximumConnections: Math.max(minimumConnections, connectionShare),
        workspace: workspace?.name,
        priority: Math.min(maximumPriority, (workspace?.priority ?? 0) * routePrioritiesPerWorkspace + route.priority),
        weightsVersion: usesCache ? weightsVersion : undefined,
        cacheSalt,
        ...cacheSalt === undefined ? noCacheAddresses : getCacheAddresses(prompt!, cacheSalt, storeAddresses, context),
    };
}

/** Gets the text under which parts are cached: other weights and isolated workspaces have texts of their own. */
function getCacheSalt(model: string, weightsVersion: number, workspace: DocumentWorkspace | undefined): string {
    const scope = workspace?.isIsolated ? workspace.name : "";
    return createCacheSalt({ workspace: scope, model, version: String(weightsVersion) });
}
