/*
 * What a request asks of the backend servers of its service.
 */

/** A request as load shedding sees it. */
export interface SheddingDemand {
    /** The service that serves it. */
    service: string;
    /** Its workspace; empty where it has none. */
    workspace: string;
    /** The workspace's weight among the others: its quota, or 1 where it has none. */
    shareWeight: number;
    /** The number of more urgent kinds of requests to the service; 0 for the most urgent kind. */
    rank: number;
    /** The latency objective of its route, in milliseconds. */
    targetMilliseconds: number;
    /** The time in which its caller needs the response, in milliseconds. */
    remainingMilliseconds: number;
    /** The tokens of its prompt; 0 where it has none. */
    promptTokens: number;
    /** The number of requests that a server runs at once, by the routing document; undefined where it does not say. */
    slots: number | undefined;
    /** The tokens that a server has memory for; Infinity where that is not known. */
    memoryTokens: number;
}
