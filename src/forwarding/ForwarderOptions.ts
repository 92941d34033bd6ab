/*
 * What a forwarder is made of.
 */
import { FeedState } from "../feed";
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { Clock, RandomSource } from "../runtime";
import { BackendLink } from "./BackendLink";
import { KvCacheStoreView } from "./KvCacheStoreView";

/** The options of a forwarder. */
export interface ForwarderOptions {
    /** What the entry knows from control. */
    state: FeedState;
    /** The way to backend servers. */
    link: BackendLink;
    /** What the stores of kept KV cache hold. */
    kvCacheStores: KvCacheStoreView;
    /** The entry's data centre. */
    dataCentre: string;
    /** How old the rules may be for requests that need a key, in milliseconds. */
    maximumDocumentAgeMilliseconds: number;
    /** How long replaced weights may answer after newer ones were named, in milliseconds. */
    supersededWeightsGraceMilliseconds: number;
    /** How many retries all entries together may send for each request. */
    retryShare: number;
    /** How many retries all entries together may send beyond that. */
    retryReserve: number;
    /** Ends the forwarder's own tasks. */
    signal: AbortSignal;
    /** The passing of time. */
    clock: Clock;
    /** Randomness. */
    random: RandomSource;
    /** Where decisions are logged. */
    logger: Logger;
    /** What is counted. */
    metrics: Metrics;
}
