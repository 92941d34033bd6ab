/*
 * The options of startEngineStandIn.
 */
import { Clock, RandomSource } from "../../runtime";
import { EngineFaults } from "./EngineFaults";
import { FleetObserver } from "./FleetObserver";
import { WeightSource } from "./WeightSource";

/** The options of an engine stand-in; each doc comment ends with the default. */
export interface EngineStandInOptions {
    /** The engine's name, which prefixes its incarnations; `engine`. */
    name?: string;
    /** The IP address to listen on; loopback. */
    address?: string;
    /** The port to listen on; chosen by the system. */
    port?: number;
    /** The model served; `large`. */
    model?: string;
    /** The weights version that it starts with; `1`. */
    version?: string;
    /** The number of tokens in a cache block, where a token is one byte of the rendered prompt; 4,096. */
    blockTokens?: number;
    /** The capacity of the prefix cache in blocks; 250. */
    cacheBlocks?: number;
    /** The number of prompt tokens prefilled per second; 20,000. */
    prefillTokensPerSecond?: number;
    /** The number of prompt tokens prefilled before a request of higher priority can preempt; 4,096. */
    prefillChunkTokens?: number;
    /** The duration of a decode step for one request, in milliseconds; 10. */
    decodeStepMilliseconds?: number;
    /** The additional duration of a decode step for each further request, in milliseconds; 0.25. */
    decodeStepMillisecondsPerRequest?: number;
    /** The maximum number of requests that decode at the same time; 64. */
    maximumBatchSize?: number;
    /** The lag of cache events, in milliseconds; 50. */
    cacheEventLagMilliseconds?: number;
    /** The share of cache events that is dropped, from 0 to 1; 0. */
    cacheEventLossShare?: number;
    /** The lag of load reports, in milliseconds; 100. */
    loadLagMilliseconds?: number;
    /** The duration of the import of one block, in milliseconds; 10. */
    importMillisecondsPerBlock?: number;
    /** The duration of a load of weights without a weight source, in milliseconds; 800. */
    loadMilliseconds?: number;
    /** The source of weights, which determines the duration of loads; none. */
    weightSource?: WeightSource;
    /** Whether an order with an old fencing token is refused; true. */
    isFencing?: boolean;
    /** The delay of the restart after a crash, in milliseconds; 500. */
    restartMilliseconds?: number;
    /** The text that crashes the engine when a prompt contains it; `<<crash-engine>>`. */
    poisonMarker?: string;
    /** The faults to inject into responses; none. */
    faults?: EngineFaults;
    /** The observer of all engines of an experiment; none. */
    observer?: FleetObserver;
    /** The clock; the system clock. */
    clock?: Clock;
    /** The random source; a source with seed 1. */
    random?: RandomSource;
}
