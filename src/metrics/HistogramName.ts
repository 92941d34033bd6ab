/*
 * The names of histograms.
 */

/** The histograms of durations in milliseconds, by metric name. */
export enum HistogramName {
    TimeToFirstToken = "basilwing_time_to_first_token_milliseconds",
    TimeBetweenTokens = "basilwing_time_between_tokens_milliseconds",
    QueueTime = "basilwing_queue_milliseconds",
    /** From the acceptance of a connection to the head of its first request. */
    ConnectionWait = "basilwing_connection_to_request_milliseconds",
    /** From the head of a request to its first attempt. */
    SendingDelay = "basilwing_request_to_sending_milliseconds",
    RequestTime = "basilwing_request_milliseconds",
    ClaimTime = "basilwing_claim_milliseconds",
    CommitTime = "basilwing_commit_milliseconds",
    InForceTime = "basilwing_configuration_in_force_milliseconds",
}
