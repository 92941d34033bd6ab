/*
 * The options of the stream origins of an entry process.
 */
import { Logger } from "../logging";
import { Metrics } from "../metrics";
import { NodeRanking } from "../routing";
import { Clock } from "../runtime";
import { StreamOriginClient } from "./StreamOriginClient";

/** The options of `createStreamOrigins`. */
export interface StreamOriginsOptions {
    /** Calls the control members. */
    client: StreamOriginClient;
    /** Gets the internal addresses of the control members that are known. */
    getMemberAddresses(): readonly string[];
    /** Chooses the members that hold an origin. */
    ranking: NodeRanking;
    /** Measures lifetimes and waits. */
    clock: Clock;
    /** Logs when the members become unreachable and reachable again. */
    logger: Logger;
    /** Counts recorded and found origins. */
    metrics: Metrics;
}
