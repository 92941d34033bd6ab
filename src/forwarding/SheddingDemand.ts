/*
 * What a request asks of the backend servers of its service.
 */

/** A request as load shedding sees it. */
export interface SheddingDemand {
    /** The service that serves it. */
    service: string;
    /** Its workspace; empty where it has none. */
    workspace: string;
    /** The number of more urgent kinds of requests to the service; 0 for the most urgent kind. */
    rank: number;
    /** The latency objective of its route, in milliseconds. */
    targetMilliseconds: number;
    /** The shortest latency objective of the service's routes, which a long wait breaks first, in milliseconds. */
    shortestTargetMilliseconds: number;
    /** The time in which its caller needs the response, in milliseconds. */
    remainingMilliseconds: number;
    /** The tokens of its prompt; 0 where it has none. */
    promptTokens: number;
    /** The number of requests that a server runs at once, by the routing document; undefined where it does not say. */
    slots: number | undefined;
    /** The tokens that a server has memory for; Infinity where that is not known. */
    memoryTokens: number;
}
