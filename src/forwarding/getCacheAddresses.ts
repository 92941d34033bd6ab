/*
 * Chooses from where an engine fetches the prompt parts that it lacks, and to which KV cache store it saves the parts
 * that it prefills, for traffic whose shared parts exceed the engines' memory. Each shared prefix is assigned to one of
 * the stores, so that its parts are stored once.
 */
import { CacheContext } from "./CacheContext";
import { CacheUse } from "./CacheUse";
import { PrefixSources } from "./PrefixSources";
import { PromptDescriptor } from "./PromptDescriptor";
import { PromptPart } from "./PromptPart";

/**
 * The maximum number of tokens of a request's own part that are saved along for each shared token that the store lacks:
 * no other request needs the own part, and it evicts shared parts.
 */
const ownTokensPerMissingToken = 1;

/**
 * Gets the addresses from which parts are fetched and to which they are saved. Parts are saved only where the store
 * lacks shared ones, and only by a request whose own part is not larger than the missing parts.
 * @param prompt - The prompt.
 * @param salt - The salt under which its parts are cached.
 * @param storeAddresses - The addresses of the stores that the routing document names, as `ip:port`.
 * @param context - The engines and stores that may hold the parts.
 */
export function getCacheAddresses(
    { parts, prefixes }: PromptDescriptor,
    salt: string,
    storeAddresses: readonly string[],
    { sources, kvCacheStores, ranking }: Omit<CacheContext, "scope">,
): Pick<Extract<CacheUse, { kind: "shared"; }>, "fetchAddress" | "saveAddress"> {
    const sharedParts = parts.slice(0, -1);
    const reachable = storeAddresses.filter(address => kvCacheStores.isReachable(address));
    const [preferredStore, ...otherStores] = ranking.getHighest(
        prefixes[0]?.digest ?? "",
        reachable,
        address => address,
        reachable.length,
    );
    const missingParts = sharedParts.filter(part =>
        !preferredStore || !kvCacheStores.hasPart(preferredStore, salt, part.id)
    );
    const heldCounts = new Map<string, number>();
    const ownTokens = parts.at(-1)?.tokens ?? 0;
    const isWorthSaving = missingParts.length > 0 && ownTokens <= ownTokensPerMissingToken * getTokens(missingParts);
    return {
        fetchAddress: sources && getFetchAddress(sources, findStore),
        saveAddress: isWorthSaving ? preferredStore : undefined,
    };

    /** Finds a store that holds the first parts; the one to which the prefix is assigned comes first. */
    function findStore(partCount: number): string | undefined {
        return [preferredStore, ...otherStores].find(address =>
            address !== undefined && getHeldCount(address) >= partCount
        );
    }

    /** Gets the number of parts that a store holds without a gap, computed once for each store. */
    function getHeldCount(address: string): number {
        let heldCount = heldCounts.get(address);
        if (heldCount === undefined) {
            const firstMissing = sharedParts.findIndex(part => !kvCacheStores.hasPart(address, salt, part.id));
            heldCount = firstMissing < 0 ? sharedParts.length : firstMissing;
            heldCounts.set(address, heldCount);
        }
        return heldCount;
    }
}

/**
 * Gets the address from which an engine fetches the parts that it lacks, even where it probably lacks none: a fetch of
 * parts that the source does not hold costs almost nothing. The longest prefix with a known holder is preferred to a
 * guess. The primary owner of the longest prefix counts as a known holder of it.
 */
function getFetchAddress(
    { prefixes, likelyHolder, isLikelyHolderPrimary }: PrefixSources,
    findStore: (partCount: number) => string | undefined,
): string | undefined {
    const primaryOwner = isLikelyHolderPrimary ? likelyHolder : undefined;
    for (const { partCount, recent, former } of prefixes) {
        const address = recent?.address ?? findStore(partCount) ?? former?.address ?? primaryOwner?.address;
        if (address !== undefined) {
            return address;
        }
    }
    return likelyHolder?.address;
}

function getTokens(parts: readonly PromptPart[]): number {
    return parts.reduce((sum, part) => sum + part.tokens, 0);
}
