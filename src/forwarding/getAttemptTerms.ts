/*
 * The conditions under which an attempt may run.
 */
import { createCacheSalt } from "../backends";
import { WorkspaceEntry } from "../documents";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { BackendAttempt } from "./BackendAttempt";
import { ForwardingTask } from "./ForwardingTask";
import { KeptCacheView } from "./KeptCacheView";
import { PrefixSources } from "./PrefixSources";

/** The part of a backend server's connections that entries use together. */
const usedConnectionPart = 0.8;
/** The connections that an entry may hold at least, however many entries there are. */
const leastConnections = 4;
/** The ranks of priority that engines know. */
const lowestPriority = 9;
/** How many ranks of routes lie in each rank of workspaces. */
const routeRanks = 3;

/** What the terms of an attempt depend on beside the request. */
interface AttemptSurroundings {
    /** How many entries share the backend server's connections. */
    entryCount: number;
    /** The engines that may hold the prompt's shared parts; undefined for requests without a prompt. */
    sources: PrefixSources | undefined;
    /** What the stores of kept KV cache hold. */
    keptCaches: KeptCacheView;
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
    const { request: { prompt }, admission: { service, route, workspace } } = task;
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
        ...cacheSalt === undefined ? noStore : getCacheTerms(task, instance, cacheSalt, surroundings),
    };
}

/** Gets the text under which parts are cached: other weights and isolated workspaces have texts of their own. */
function getSalt(model: string, weightsVersion: number, workspace: WorkspaceEntry | undefined): string {
    const scopeWorkspace = workspace?.isIsolated ? workspace.name : "";
    return createCacheSalt({ workspace: scopeWorkspace, model, version: String(weightsVersion) });
}

/**
 * Gets where parts are fetched from and saved to. What this entry knows of an engine or of the store goes before a guess;
 * a fetch of what is not there costs next to nothing. Parts are saved only where a shared one is missing.
 */
function getCacheTerms(
    task: ForwardingTask,
    instance: FleetInstance,
    cacheSalt: string,
    { sources, keptCaches }: AttemptSurroundings,
): Pick<BackendAttempt, "fetchAddress" | "saveAddress"> {
    const { request: { prompt }, admission: { table } } = task;
    const sharedParts = prompt?.parts.slice(0, -1) ?? [];
    const stores = table.getKeptCaches().filter(candidate => keptCaches.isReachable(candidate.address));
    const store = stores.find(candidate => candidate.dataCentre === instance.dataCentre) ?? stores[0];
    const missing = sharedParts.find(part => !store || !keptCaches.hasPart(store.address, cacheSalt, part.id));
    const isKept = store !== undefined && missing === undefined;
    const guess = sources?.isHeld ? undefined : sources?.likely;
    return {
        fetchAddress: sources?.known?.address ?? (isKept ? store.address : guess?.address),
        saveAddress: missing === undefined ? undefined : store?.address,
    };
}
