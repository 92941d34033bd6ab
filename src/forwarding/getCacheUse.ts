/*
 * Decides how an attempt uses the cache. All salts of forwarded requests are made here.
 */
import { createCacheSalt } from "../backends";
import { getWeightsVersion } from "../fleet";
import { FleetInstance } from "../protocol";
import { CacheContext } from "./CacheContext";
import { CacheUse } from "./CacheUse";
import { ForwardingTask } from "./ForwardingTask";
import { getCacheAddresses } from "./getCacheAddresses";

/**
 * Gets the cache use of an attempt. Parts are shared only under a salt that names their weights version, and only with
 * requests that expect that version.
 * @param task - The request.
 * @param instance - The backend server.
 * @param context - What may be cached where.
 */
export function getCacheUse(
    { request: { prompt, requestId }, admission: { service, table } }: ForwardingTask,
    instance: FleetInstance,
    context: CacheContext,
): CacheUse {
    const weightsVersion = prompt && getWeightsVersion(instance, prompt.model);
    if (service.kind !== "engine" || !prompt || weightsVersion === undefined) {
        return { kind: "private", salt: JSON.stringify({ workspace: context.scope, requestId }) };
    }
    const salt = createCacheSalt({
        workspace: context.scope,
        model: prompt.model,
        version: String(weightsVersion),
    });
    const storeAddresses = table.getKvCacheStores().map(store => store.address);
    return { kind: "shared", salt, weightsVersion, ...getCacheAddresses(prompt, salt, storeAddresses, context) };
}
