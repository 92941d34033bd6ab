/*
 * The names of background tasks.
 */

/** The background tasks; the values are those of the label `task` in metrics. */
export enum TaskName {
    /** Polls the leader of the control members. */
    Feed = "feed",
    /** Starts waiting requests. */
    RequestQueue = "requestQueue",
    /** Checks whether backend servers are silent. */
    SilenceChecks = "silenceChecks",
    /** Probes a silent backend server until it responds. */
    Probing = "probing",
    /** Tells a run that its backend server is silent. */
    SilenceNotices = "silenceNotices",
    /** Reads a response that is not passed on, so that its connection is free again. */
    ResponseDiscarding = "responseDiscarding",
    /** Checks whether a backend server has crashed. */
    CrashCheck = "crashCheck",
    /** Finds out which KV cache stores to follow. */
    KvCacheStoreList = "kvCacheStoreList",
    /** Follows the changes of a KV cache store. */
    KvCacheStore = "kvCacheStore",
    /** Records the origins of streams at control members. */
    StreamOriginBatch = "streamOriginBatch",
    /** Records the origins of streams at a control member that has joined or restarted. */
    StreamOriginRestoration = "streamOriginRestoration",
    /** Takes part in the replicated log. */
    ReplicatedLog = "replicatedLog",
    /** Handles a message of another member of the replicated log. */
    MemberMessage = "memberMessage",
    /** Polls the platform's list of backend servers. */
    FleetListPolling = "fleetListPolling",
    /** Chooses the engines that load weights. */
    Rollout = "rollout",
    /** Has one engine load weights. */
    WeightsLoad = "weightsLoad",
    /** Decides which subjects are quarantined. */
    CrashQuarantine = "crashQuarantine",
    /** Divides the limits of backend servers. */
    ServerLimits = "serverLimits",
    /** Distributes the load of backend servers. */
    LoadDistribution = "loadDistribution",
    /** Ends the polls that wait for facts. */
    FactWakeup = "factWakeup",
}
