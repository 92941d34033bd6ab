/*
 * Options of a forwarder.
 */
import { CrashQuarantine } from "../crashQuarantine";
import { FactStore } from "../facts";
import { FeedState } from "../feed";
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { Clock, RandomSource } from "../runtime";
import { ServerLimits } from "../serverLimits";
import { StreamOrigins } from "../streamOrigins";
import { WorkspaceQuotas } from "../workspaceQuotas";
import { BackendLink } from "./BackendLink";
import { KvCacheStoreView } from "./KvCacheStoreView";
import { PlannedStop } from "./PlannedStop";

/** The options of a forwarder. */
export interface ForwarderOptions {
    /** The routing document and the fleet, as received from control. */
    state: FeedState;
    /** Sends attempts to backend servers. */
    link: BackendLink;
    /** Which software versions began the streams that callers may resume. */
    streamOrigins: StreamOrigins;
    /** Which parts of prompts crash engines. */
    crashQuarantine: CrashQuarantine;
    /** The limits that backend servers name. */
    serverLimits: ServerLimits;
    /** The quotas of workspaces. */
    workspaceQuotas: Pick<WorkspaceQuotas, "admit">;
    /** What entry processes tell each other. */
    facts: FactStore;
    /** The contents of the KV cache stores. */
    kvCacheStores: KvCacheStoreView;
    /** The entry process's data centre. */
    dataCentre: string;
    /** The maximum age of the routing document for requests that need a key, in milliseconds. */
    maximumDocumentAgeMilliseconds: number;
    /** How long superseded weights may still serve requests after newer ones were named, in milliseconds. */
    supersededWeightsGraceMilliseconds: number;
    /** The number of retries that all entry processes together may send for each request. */
    retryShare: number;
    /** The number of retries that all entry processes together may send beyond that share, within a window. */
    retryReserve: number;
    /** The length of that window, in milliseconds. */
    retryWindowMilliseconds: number;
    /** The planned stop of the process. */
    plannedStop: Pick<PlannedStop, "signal" | "isTooLate">;
    /** Waits until everything that has arrived has been read, so that callers that have left are known. */
    pollConnections(): Promise<void>;
    /** Ends the forwarder's background tasks. */
    signal: AbortSignal;
    /** The clock. */
    clock: Clock;
    /** The source of random numbers. */
    random: RandomSource;
    /** Logs the outcome of requests and attempts. */
    logger: Logger;
    /** Counts requests, retries and refusals, and records latencies. */
    metrics: Metrics;
}
