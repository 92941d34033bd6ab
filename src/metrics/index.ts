/*
 * Counters, gauges and histograms of a process, and their text format.
 */
export * from "./ConnectionEndReason";
export * from "./ContentionReason";
export * from "./CounterName";
export * from "./createMetrics";
export * from "./GaugeName";
export * from "./HistogramName";
export * from "./HistogramSummary";
export * from "./Metrics";
export * from "./RetryReason";
export * from "./TaskName";
