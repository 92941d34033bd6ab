/*
 * The conditions under which an attempt may run.
 */
import { createCacheSalt } from "../backends";
import { DocumentWorkspace } from "../documents";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { BackendAttempt } from "./BackendAttempt";
import { CacheSurroundings } from "./CacheSurroundings";
import { ForwardingTask } from "./ForwardingTask";
import { getCacheTerms } from "./getCacheTerms";

/** The part of a backend server's connections that entries use together. */
const usedConnectionPart = 0.8;
/** The connections that an entry may hold at least, however many entries there are. */
const leastConnections = 4;
/** The ranks of priority that engines know. */
const lowestPriority = 9;
/** How many ranks of routes lie in each rank of workspaces. */
const routeRanks = 3;

/** What the terms of an attempt depend on beside the request. */
interface AttemptSurroundings extends CacheSurroundings {
    /** How many entries share the backend server's connections. */
    entryCount: number;
}

const noStore = { fetchAddress: undefined, saveAddress: undefined };

type AttemptTerms = Pick<
    BackendAttempt,
    "maximumConnections" | "workspace" | "priority" | "weightsVersion" | "cacheSalt" | "fetchAddress" | "saveAddress"
>;

/**
 * Gets the terms of an attempt.
 * @param task - The request.
 * @param instance - Where it is sent.
 * @param surroundings - What else the terms depend on.
 */
export function getAttemptTerms(
    task: ForwardingTask,
    instance: FleetInstance,
    surroundings: AttemptSurroundings,
): AttemptTerms {
    const { request: { prompt }, admission: { service, route, workspace, table } } = task;
    const storeAddresses = table.getKvCacheStores().map(cache => cache.address);
    const share = Math.floor(usedConnectionPart * service.maximumConnections / surroundings.entryCount);
    const weightsVersion = prompt && getWeightsVersion(instance, prompt.model);
    const caches = service.kind === "engine" && weightsVersion !== undefined;
    const cacheSalt = caches ? getSalt(prompt!.model, weightsVersion, workspace) : undefined;
    return {
        maximumConnections: Math.max(leastConnections, share),
        workspace: workspace?.name,
        priority: Math.min(lowestPriority, (workspace?.priority ?? 0) * routeRanks + route.priority),
        weightsVersion: caches ? weightsVersion : undefined,
        cacheSalt,
        ...cacheSalt === undefined ? noStore : getCacheTerms(prompt!, cacheSalt, storeAddresses, surroundings),
    };
}

/** Gets the text under which parts are cached: other weights and isolated workspaces have texts of their own. */
function getSalt(model: string, weightsVersion: number, workspace: DocumentWorkspace | undefined): string {
    const scopeWorkspace = workspace?.isIsolated ? workspace.name : "";
    return createCacheSalt({ workspace: scopeWorkspace, model, version: String(weightsVersion) });
}
