/*
 * What an engine stand-in is like.
 */
import { Clock, RandomSource } from "../../runtime";
import { EngineFaults } from "./EngineFaults";
import { FleetObserver } from "./FleetObserver";
import { WeightSource } from "./WeightSource";

/** The options of an engine stand-in; one that is absent has the default given with it. */
export interface EngineStandInOptions {
    /** The engine's name, the beginning of its incarnations; `engine`. */
    name?: string;
    /** The IP address to listen on; loopback. */
    address?: string;
    /** The port to listen on; chosen by the system. */
    port?: number;
    /** The model served; `large`. */
    model?: string;
    /** The weights version that it starts with; `1`. */
    version?: string;
    /** How many tokens a piece of cache holds; 4,096. A token is one byte of the rendered prompt. */
    blockTokens?: number;
    /** How many pieces the cache holds; 250. */
    cacheBlocks?: number;
    /** How many prompt tokens are prefilled a second; 20,000. */
    prefillTokensPerSecond?: number;
    /** How many prompt tokens are prefilled before a more urgent request may go first; 4,096. */
    prefillChunkTokens?: number;
    /** How long a decode step takes for one request, in milliseconds; 10. */
    decodeStepMilliseconds?: number;
    /** How much longer a decode step takes for each further request, in milliseconds; 0.25. */
    decodeStepMillisecondsPerRequest?: number;
    /** How many requests decode at once; 64. */
    maximumBatchSize?: number;
    /** How late cache events are published, in milliseconds; 50. */
    cacheEventLagMilliseconds?: number;
    /** Which share of cache events is lost; 0. */
    cacheEventLossShare?: number;
    /** How old reported loads are, in milliseconds; 100. */
    loadLagMilliseconds?: number;
    /** How long the import of a piece takes, in milliseconds; 10. */
    importMillisecondsPerBlock?: number;
    /** How long a load of weights takes, in milliseconds, where no weight source is given; 800. */
    loadMilliseconds?: number;
    /** Where weights come from; its rate limit makes loads slower. */
    weightSource?: WeightSource;
    /** Whether an order with an old fencing number is refused; true. */
    isFencing?: boolean;
    /** How long it takes to come back after a crash, in milliseconds; 500. */
    restartMilliseconds?: number;
    /** The text in a prompt that crashes the engine. */
    poisonMarker?: string;
    /** Faults in its answers; none. */
    faults?: EngineFaults;
    /** Sees what is computed, across all engines of an experiment. */
    observer?: FleetObserver;
    /** The clock; the machine's. */
    clock?: Clock;
    /** The random source; seeded with 1. */
    random?: RandomSource;
}
