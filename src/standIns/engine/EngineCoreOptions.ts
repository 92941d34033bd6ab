/*
 * What the inside of an engine is created from.
 */
import { Clock } from "../../runtime";
import { EngineSpeeds } from "./EngineSpeeds";
import { PrefixCache } from "./PrefixCache";

/** The options of an engine's inside. */
export interface EngineCoreOptions {
    /** The clock. */
    clock: Clock;
    /** The prefix cache. */
    cache: PrefixCache;
    /** How fast the engine computes. */
    speeds: EngineSpeeds;
    /** How many tokens a piece of cache holds. */
    blockTokens: number;
    /** How many requests decode at once. */
    maximumBatchSize: number;
    /** Hears of computed tokens, with the pieces that they completed, before these are stored. */
    onComputed(requestId: string, hashes: readonly string[], tokens: number): void;
    /** Hears that a prompt is done, or that its run has ended before. */
    onPrefilled(requestId: string): void;
    /** Stores a piece. */
    onStored(hash: string, parent: string): void;
    /** Hears that a poisonous prompt has been prefilled. */
    onPoisonPrefilled(): void;
}
