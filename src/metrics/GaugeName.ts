/*
 * The names of gauges. Some metric names differ from the terms of the code: a piece is a block.
 */

/** The gauges, by metric name; their values are read when metrics are requested. */
export enum GaugeName {
    RequestsInFlight = "basilwing_requests_in_flight",
    /** The bytes that the bodies of requests occupy or have reserved. */
    RequestMemory = "basilwing_request_memory_bytes",
    RequestsWaitingForMemory = "basilwing_requests_waiting_for_memory",
    /** The connections that are not read until others have been read. */
    ConnectionsWaitingForTurn = "basilwing_connections_waiting_for_turn",
    /** The longest delay since the gauge was last read. */
    EventLoopDelay = "basilwing_event_loop_delay_milliseconds",
    /** The number of entry processes by which an entry process divides what they share. */
    EntryProcesses = "basilwing_entry_processes",
    /** The retries that an entry process may send at once to the service for which it has saved the fewest. */
    SavedRetries = "basilwing_saved_retries",
    /** The backend servers that have reported their speed to an entry process in the last 5 s. */
    ServersWithSpeed = "basilwing_servers_with_work_factor",
    /** The work factors of the slowest and the fastest of them in percent; 100 where there are none. */
    HighestWorkPercent = "basilwing_highest_work_percent",
    LowestWorkPercent = "basilwing_lowest_work_percent",
    /** The largest amount that an entry process has used of a quota beyond what it was granted. */
    QuotaDebt = "basilwing_quota_debt",
    /** The largest amount that a leader has granted of a quota and that is not used. */
    QuotaCredit = "basilwing_quota_credit",
    QueueLength = "basilwing_queue_length",
    IndexedBlocks = "basilwing_indexed_pieces",
    ConfigurationRevision = "basilwing_configuration_revision",
    LeaseRemaining = "basilwing_lease_remaining_milliseconds",
    LogTerm = "basilwing_log_term",
    LogCommitIndex = "basilwing_log_commit_index",
    /** 0 where the member has stopped, 1 as a learner, 2 as a follower, 3 as a candidate, 4 as the leader. */
    LogRole = "basilwing_log_role",
    /** 1 where the member knows a leader. */
    LogLeaderKnown = "basilwing_log_leader_known",
    LogVoters = "basilwing_log_voters",
    LogLearners = "basilwing_log_learners",
    /** The next three are the leader's view, and -1 at other members. */
    LogResponsiveVoters = "basilwing_log_responsive_voters",
    LogFurtherLosses = "basilwing_log_further_losses_borne",
    LogLearnerLag = "basilwing_log_learner_lag_entries",
    LogEntryBytes = "basilwing_log_entry_bytes",
    LogEntriesSinceSnapshot = "basilwing_log_entries_since_snapshot",
    LogLostVoters = "basilwing_log_lost_voters",
    OpenClaims = "basilwing_open_claims",
    Sessions = "basilwing_sessions",
    DirectorySize = "basilwing_directory_size",
}
