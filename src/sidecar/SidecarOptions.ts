/*
 * What a sidecar is made of.
 */
import { ControlClient } from "../control";
import { Logger } from "../logging";
import { Authority, StateHandler } from "../membership";
import { Metrics } from "../metrics";
import { Clock } from "../runtime";
import { SidecarSettings } from "../settings";
import { AttemptLimits } from "./attempts";
import { Backend } from "./Backend";
import { KvCacheTransfer } from "./keptCache";
import { RequestScheduler } from "./RequestScheduler";

/** The options of a sidecar. */
export interface SidecarOptions {
    /** The instance's id. */
    instanceId: string;
    /** The incarnation of this process. */
    incarnation: string;
    /** What stands behind the sidecar. */
    settings: SidecarSettings;
    /** The backend server. */
    backend: Backend;
    /** The use of the store of kept KV cache; none where absent. */
    kvCacheTransfer?: KvCacheTransfer;
    /** What decides which request runs next. */
    scheduler: RequestScheduler;
    /** The right to act on the configuration held. */
    authority: Authority;
    /** Answers other processes about configuration and directory; absent where the configuration never changes. */
    stateHandler?: StateHandler;
    /** The control members; absent where the configuration never changes. */
    control?: ControlClient;
    /** How much is remembered of attempts; the defaults where absent. */
    attemptLimits?: AttemptLimits;
    /** The passing of time. */
    clock: Clock;
    /** Where events are logged. */
    logger: Logger;
    /** What is counted. */
    metrics: Metrics;
}
