/*
 * How many entry processes share the limit of a backend server.
 */

/** The number of holders of the smallest limit. */
const minimumHolders = 3;
/** The additional holders for each request a second. */
const holdersPerRequestPerSecond = 2;

/**
 * Gets the number of holders. Each may have one request saved up, so that many holders of a small limit could send many
 * times the limit at one moment.
 * @param requestsPerSecond - The limit.
 * @param entryCount - The number of entry processes.
 */
export function getHolderCount(requestsPerSecond: number, entryCount: number): number {
    const maximumHolders = minimumHolders + Math.floor(holdersPerRequestPerSecond * requestsPerSecond);
    return Math.max(1, Math.min(entryCount, maximumHolders));
}
