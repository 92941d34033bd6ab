/*
 * The names of counters without labels. Refusals and retries have their own counters with the reason as a label.
 * Some metric names differ from the terms of the code: an answer is a response, a piece is a block, and the kept cache
 * is the KV cache store.
 */

/** The counters, by metric name. */
export enum CounterName {
    Requests = "basilwing_requests_total",
    CompletedRequests = "basilwing_requests_completed_total",
    /** Connections of callers that were accepted. */
    CallerConnections = "basilwing_caller_connections_total",
    /** Connections of callers that were closed at once, since there were too many. */
    ConnectionsRefused = "basilwing_connections_refused_total",
    /** Bodies of requests that were refused, since there was no memory for them or others needed theirs. */
    BodiesRefusedForMemory = "basilwing_bodies_refused_for_memory_total",
    /** Requests whose bodies came in very small chunks, and that were refused as others were read too late. */
    RequestsRefusedForTurns = "basilwing_requests_refused_for_turns_total",
    /** Heads of requests that were refused before their end, since such heads occupied too much memory. */
    HeadsRefusedForMemory = "basilwing_heads_refused_for_memory_total",
    /** Bodies of requests of which nothing arrived for too long. */
    BodiesTimedOut = "basilwing_bodies_timed_out_total",
    /** Requests whose caller left before any attempt was sent. */
    CallersLeftBeforeSending = "basilwing_callers_left_before_sending_total",
    /** Requests whose caller left after an attempt was sent. */
    CallersLeftAfterSending = "basilwing_callers_left_after_sending_total",
    PromptTokens = "basilwing_prompt_tokens_total",
    CachedPromptTokens = "basilwing_cached_prompt_tokens_total",
    CompletionTokens = "basilwing_completion_tokens_total",
    /** Responses, or events of a response, that belong to another request. */
    CrossedResponses = "basilwing_crossed_answers_total",
    /** Events of a response that arrive repeatedly, or after the request was cancelled. */
    LateResponses = "basilwing_late_answers_total",
    BrokenStreams = "basilwing_broken_streams_total",
    /** Second runs of a request that delivered before the silent first one. */
    HedgesWon = "basilwing_hedges_won_total",
    ResumedStreams = "basilwing_resumed_streams_total",
    /** Streams whose origin no control member held in time. */
    StreamOriginsUnrecorded = "basilwing_stream_origins_unrecorded_total",
    /** Resumptions whose stream's origin was known. */
    StreamOriginsFound = "basilwing_stream_origins_found_total",
    /** Resumptions that were refused, since the origin of the stream was not known. */
    StreamOriginsNotFound = "basilwing_stream_origins_not_found_total",
    SlowCallers = "basilwing_slow_callers_total",
    BackendCrashes = "basilwing_backend_crashes_total",
    /** Requests within the quota of their workspace that needed no grant of the leader. */
    QuotaAdmissionsAtOnce = "basilwing_quota_admissions_at_once_total",
    /** Requests that waited for a grant. */
    QuotaWaits = "basilwing_quota_waits_total",
    /** Requests whose amount was refunded to the quota, as they never ran. */
    QuotaRefunds = "basilwing_quota_refunds_total",
    CacheEvents = "basilwing_cache_events_total",
    CacheEventGaps = "basilwing_cache_event_gaps_total",
    KvCacheImports = "basilwing_kept_cache_imports_total",
    KvCacheImportedBlocks = "basilwing_kept_cache_imported_pieces_total",
    KvCacheFailures = "basilwing_kept_cache_failures_total",
    ConfigurationDeltas = "basilwing_configuration_deltas_total",
    ConfigurationSnapshots = "basilwing_configuration_snapshots_total",
    StaleRevisionsDropped = "basilwing_stale_revisions_dropped_total",
    LeasesGranted = "basilwing_leases_granted_total",
    OrdersCarriedOut = "basilwing_orders_carried_out_total",
    OrdersFailed = "basilwing_orders_failed_total",
    OrdersRefused = "basilwing_orders_refused_total",
    Elections = "basilwing_elections_total",
    Commits = "basilwing_commits_total",
    DiskSyncs = "basilwing_disk_syncs_total",
    ControlBytesReceived = "basilwing_control_bytes_received_total",
    ControlBytesSent = "basilwing_control_bytes_sent_total",
}
