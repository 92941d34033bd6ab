/*
 * The options of createEngineCore.
 */
import { Clock } from "../../runtime";
import { EngineSpeeds } from "./EngineSpeeds";
import { PrefixCache } from "./PrefixCache";

/** The options of an engine core. */
export interface EngineCoreOptions {
    /** The clock. */
    clock: Clock;
    /** The prefix cache. */
    cache: PrefixCache;
    /** The speeds of the engine. */
    speeds: EngineSpeeds;
    /** The number of tokens in a cache block. */
    blockTokens: number;
    /** The maximum number of requests that decode at the same time. */
    maximumBatchSize: number;
    /** Called with computed prompt tokens and the blocks that they complete, before these blocks are stored. */
    onComputed(requestId: string, hashes: readonly string[], tokens: number): void;
    /** Called when a prompt is prefilled, or when its run is cancelled before. */
    onPrefilled(requestId: string): void;
    /** Called to store a block. */
    onStored(hash: string, parent: string): void;
    /** Called when a prompt with the poison marker has been prefilled. */
    onPoisonPrefilled(): void;
}
