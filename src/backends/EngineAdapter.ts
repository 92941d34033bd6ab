/*
 * How a sidecar speaks with its engine. Another wire shape is one more implementation of this.
 */
import { Order } from "../protocol";
import { CacheEvent } from "./CacheEvent";
import { EngineEvent } from "./EngineEvent";
import { EngineLoad } from "./EngineLoad";
import { EngineRequest } from "./EngineRequest";
import { OrderOutcome } from "./OrderOutcome";

/** A model engine. */
export interface EngineAdapter {
    /** Runs a completion; the last event is `end`, `refused` or `failed`. */
    complete(request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent>;
    /** Follows the engine's cache events from a number on; ends when the connection does. */
    watchCacheEvents(fromNumber: number, signal: AbortSignal): AsyncIterable<CacheEvent>;
    /** Gets the engine's load; undefined where it does not answer. */
    getLoad(signal?: AbortSignal): Promise<EngineLoad | undefined>;
    /** Passes an order on. */
    execute(order: Order, signal?: AbortSignal): Promise<OrderOutcome>;
    /** Exports the KV cache of a prefix; undefined where the engine does not hold it. */
    exportCache(hash: string, signal?: AbortSignal): Promise<Uint8Array | undefined>;
    /** Imports the KV cache of a prefix. */
    importCache(hashes: readonly string[], data: Uint8Array, signal?: AbortSignal): Promise<boolean>;
}
