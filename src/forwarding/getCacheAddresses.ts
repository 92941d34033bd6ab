/*
 * Where an engine fetches the parts of a prompt that it lacks, and where it saves what it reads. It answers a load of
 * prompts whose shared parts together outgrow the engines' memory: several stores divide the shared parts among them, so
 * that each part is kept once.
 */
import { BackendAttempt } from "./BackendAttempt";
import { CacheContext } from "./CacheContext";
import { PrefixSources } from "./PrefixSources";
import { PromptDescriptor } from "./PromptDescriptor";
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
 * @param salt - The text under which its parts are cached.
 * @param storeAddresses - The stores that the document names.
 * @param surroundings - Where the parts may be.
 */
export function getCacheAddresses(
    { parts }: PromptDescriptor,
    salt: string,
    storeAddresses: readonly string[],
    { sources, kvCacheStores, ranking }: CacheContext,
): Pick<BackendAttempt, "fetchAddress" | "saveAddress"> {
    const sharedParts = parts.slice(0, -1);
    const sharedIds = sharedParts.map(part => part.id).join(",");
    const reachable = storeAddresses.filter(address => kvCacheStores.isReachable(address));
    const [preferredStore, ...otherStores] = ranking.getHighest(
        sharedIds,
        reachable,
        address => address,
        reachable.length,
    );
    const missingParts = sharedParts.filter(part =>
        !preferredStore || !kvCacheStores.hasPart(preferredStore, salt, part.id)
    );
    const ownTokens = parts.at(-1)?.tokens ?? 0;
    const isWorthSaving = missingParts.length > 0 && ownTokens <= ownTokensPerMissingToken * getTokens(missingParts);
    return {
        fetchAddress: sources && getFetchAddress(sources, findStore),
        saveAddress: isWorthSaving ? preferredStore : undefined,
    };

    /** Finds a store that holds all of some parts, the one that should keep them first. */
    function findStore(requiredParts: readonly PromptPart[]): string | undefined {
        return [preferredStore, ...otherStores].find(address =>
            address !== undefined && requiredParts.every(part => kvCacheStores.hasPart(address, salt, part.id))
        );
    }
}

/**
 * Gets where an engine fetches what it lacks, also where it is believed to lack nothing: a fetch of what is not there
 * costs next to nothing. The longest beginning that is known to be somewhere goes before a guess; only the engine that all
 * entries prefer for the longest one is as good as known to hold it.
 */
function getFetchAddress(
    { prefixes, likelyHolder, isLikelyHolderPrimary }: PrefixSources,
    findStore: (parts: readonly PromptPart[]) => string | undefined,
): string | undefined {
    const primaryOwner = isLikelyHolderPrimary ? likelyHolder : undefined;
    for (const { parts, recent, former } of prefixes) {
        const address = recent?.address ?? findStore(parts) ?? former?.address ?? primaryOwner?.address;
        if (address !== undefined) {
            return address;
        }
    }
    return likelyHolder?.address;
}

function getTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}
