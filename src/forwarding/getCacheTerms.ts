/*
 * Where an engine fetches the parts of a prompt that it lacks, and where it saves what it reads. It answers a load of
 * prompts whose shared parts together outgrow the engines' memory: several stores divide the shared parts among them, so
 * that each part is kept once.
 */
import { BackendAttempt } from "./BackendAttempt";
import { CacheSurroundings } from "./CacheSurroundings";
import { PrefixSources } from "./PrefixSources";
import { PromptOutline } from "./PromptOutline";
import { PromptPart } from "./PromptPart";

/**
 * The tokens of a request's own part that a save may carry into a store for each shared token that the store lacks: the
 * own part is not asked for by others, and pushes shared ones out.
 */
const ownTokensPerMissingToken = 1;

/**
 * Gets where parts are fetched from and saved to. Parts are saved only where shared ones are missing, by a request whose
 * own part is small beside them.
 * @param prompt - The prompt's outline.
 * @param cacheSalt - The text under which its parts are cached.
 * @param storeAddresses - The stores that the document names.
 * @param surroundings - Where the parts may be.
 */
export function getCacheTerms(
    { parts }: PromptOutline,
    cacheSalt: string,
    storeAddresses: readonly string[],
    { sources, keptCaches, ranking }: CacheSurroundings,
): Pick<BackendAttempt, "fetchAddress" | "saveAddress"> {
    const sharedParts = parts.slice(0, -1);
    const sharedIds = sharedParts.map(part => part.id).join(",");
    const reachable = storeAddresses.filter(address => keptCaches.isReachable(address));
    const [store, ...otherStores] = ranking.getHighest(sharedIds, reachable, address => address, reachable.length);
    const missing = sharedParts.filter(part => !store || !keptCaches.hasPart(store, cacheSalt, part.id));
    const ownTokens = parts.at(-1)?.tokens ?? 0;
    const isWorthSaving = missing.length > 0 && ownTokens <= ownTokensPerMissingToken * getTokens(missing);
    return {
        fetchAddress: sources && getFetchAddress(sources, findStore),
        saveAddress: isWorthSaving ? store : undefined,
    };

    /** Finds a store that holds all of some parts, the one that should keep them first. */
    function findStore(wanted: readonly PromptPart[]): string | undefined {
        return [store, ...otherStores].find(address =>
            address !== undefined && wanted.every(part => keptCaches.hasPart(address, cacheSalt, part.id))
        );
    }
}

/**
 * Gets where an engine fetches what it lacks, also where it is believed to lack nothing: a fetch of what is not there
 * costs next to nothing. The longest beginning that is known to be somewhere goes before a guess; only the engine that all
 * entries prefer for the longest one is as good as known to hold it.
 */
function getFetchAddress(
    { beginnings, likely, isLikelyHome }: PrefixSources,
    findStore: (parts: readonly PromptPart[]) => string | undefined,
): string | undefined {
    const home = isLikelyHome ? likely : undefined;
    for (const { parts, recent, former } of beginnings) {
        const address = recent?.address ?? findStore(parts) ?? former?.address ?? home?.address;
        if (address !== undefined) {
            return address;
        }
    }
    return likely?.address;
}

function getTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}
