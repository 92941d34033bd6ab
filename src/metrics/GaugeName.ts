/*
 * The names of gauges. Some metric names differ from the terms of the code: a piece is a block.
 */

/** The gauges, by metric name; their values are read when metrics are requested. */
export enum GaugeName {
    RequestsInFlight = "basilwing_requests_in_flight",
    /** The longest delay since the gauge was last read. */
    EventLoopDelay = "basilwing_event_loop_delay_milliseconds",
    QueueLength = "basilwing_queue_length",
    IndexedBlocks = "basilwing_indexed_pieces",
    ConfigurationRevision = "basilwing_configuration_revision",
    LeaseRemaining = "basilwing_lease_remaining_milliseconds",
    LogTerm = "basilwing_log_term",
    LogCommitIndex = "basilwing_log_commit_index",
    OpenClaims = "basilwing_open_claims",
    Sessions = "basilwing_sessions",
    DirectorySize = "basilwing_directory_size",
}
