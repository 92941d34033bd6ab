/*
 * The interface between a sidecar and its engine. Support for another wire format is another implementation of it.
 */
import { Order } from "../protocol";
import { CacheEvent } from "./CacheEvent";
import { EngineEvent } from "./EngineEvent";
import { EngineLoad } from "./EngineLoad";
import { EngineRequest } from "./EngineRequest";
import { OrderOutcome } from "./OrderOutcome";

/** Sends requests and orders to a model engine. */
export interface EngineAdapter {
    /**
     * Runs a completion.
     * @param request - The completion request.
     * @param signal - Cancels the completion.
     * @returns The events of the response; the last is `end`, `refused` or `failed`.
     */
    complete(request: EngineRequest, signal: AbortSignal): AsyncIterable<EngineEvent>;
    /**
     * Streams the engine's cache events until the connection ends.
     * @param fromNumber - The sequence number of the first event to send.
     * @param signal - Closes the connection.
     */
    watchCacheEvents(fromNumber: number, signal: AbortSignal): AsyncIterable<CacheEvent>;
    /**
     * Gets the engine's load.
     * @param signal - Cancels the call.
     * @returns The load; undefined if the engine does not respond.
     */
    getLoad(signal?: AbortSignal): Promise<EngineLoad | undefined>;
    /**
     * Sends an order to the engine.
     * @param order - The order.
     * @param signal - Cancels the call; the outcome is `unknown` then.
     */
    execute(order: Order, signal?: AbortSignal): Promise<OrderOutcome>;
    /**
     * Exports the KV cache of a prefix.
     * @param hash - The hash of the prefix's last block.
     * @param signal - Cancels the call.
     * @returns The data; undefined if the engine does not hold the prefix or the call fails.
     */
    exportCache(hash: string, signal?: AbortSignal): Promise<Uint8Array | undefined>;
    /**
     * Imports the KV cache of a prefix.
     * @param hashes - The chain of the prefix, first block first.
     * @param data - The exported data.
     * @param signal - Cancels the call.
     * @returns Whether the engine accepted the data.
     */
    importCache(hashes: readonly string[], data: Uint8Array, signal?: AbortSignal): Promise<boolean>;
}
