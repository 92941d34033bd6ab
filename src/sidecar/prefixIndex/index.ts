/*
 * The index of the blocks in one engine's prefix cache.
 */
export * from "./createPrefixIndex";
export * from "./PrefixIndexOptions";
