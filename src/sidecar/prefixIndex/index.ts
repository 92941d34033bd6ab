/*
 * The index of what one engine holds in its prefix cache.
 */
export * from "./createPrefixIndex";
export * from "./PrefixIndexOptions";
