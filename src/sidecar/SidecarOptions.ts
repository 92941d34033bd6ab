/*
 * The options of a sidecar.
 */
import { ControlClient } from "../control";
import { Logger } from "../logging";
import { Authority, StateHandler } from "../membership";
import { Metrics } from "../metrics";
import { Clock } from "../runtime";
import { SidecarSettings } from "../settings";
import { AttemptLimits } from "./attempts";
import { Backend } from "./Backend";
import { KvCacheTransfer } from "./kvCacheTransfer";
import { RequestScheduler } from "./RequestScheduler";

/** The settings and the collaborators of a sidecar. */
export interface SidecarOptions {
    /** The instance's id. */
    instanceId: string;
    /** The incarnation of this process. */
    incarnation: string;
    /** The sidecar's settings. */
    settings: SidecarSettings;
    /** The backend server behind the sidecar. */
    backend: Backend;
    /** Moves KV cache between the engine and the KV cache store; no store is used if absent. */
    kvCacheTransfer?: KvCacheTransfer;
    /** Decides which request runs next. */
    scheduler: RequestScheduler;
    /** Decides whether this process may act on its configuration. */
    authority: Authority;
    /** Serves configuration and directory to other processes; absent if the configuration never changes. */
    stateHandler?: StateHandler;
    /** The client of the control members; absent if the configuration never changes. */
    control?: ControlClient;
    /** The limits of the attempt registry; the defaults if absent. */
    attemptLimits?: AttemptLimits;
    /** The clock. */
    clock: Clock;
    /** The logger. */
    logger: Logger;
    /** The metrics. */
    metrics: Metrics;
}
