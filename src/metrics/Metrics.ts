/*
 * The metrics of a process.
 */
import { RefusalReason } from "../protocol";
import { ConnectionEndReason } from "./ConnectionEndReason";
import { ContentionReason } from "./ContentionReason";
import { CounterName } from "./CounterName";
import { GaugeName } from "./GaugeName";
import { HistogramName } from "./HistogramName";
import { HistogramSummary } from "./HistogramSummary";
import { RetryReason } from "./RetryReason";
import { TaskName } from "./TaskName";

/** The counters, gauges and histograms of a process. */
export interface Metrics {
    /** Counts a refusal with its reason. */
    countRefusal(reason: RefusalReason): void;
    /**
     * Counts a refusal under contention, where the routing document distinguishes requests.
     * @param reason - The reason.
     * @param isOverShare - Whether the request's workspace exceeds its share.
     */
    countContentionRefusal(reason: ContentionReason, isOverShare: boolean): void;
    /** Counts a retry with its reason. */
    countRetry(reason: RetryReason): void;
    /** Counts an attempt beyond the first of its request, sent to a backend server of a service. */
    countSentRetry(service: string): void;
    /** Counts a request to a service that was not sent again, since the retry budget was used up. */
    countRefusedRetry(service: string): void;
    /** Counts a failure of a background task. */
    countTaskFailure(task: TaskName): void;
    /**
     * Counts whole requests that got no complete answer, since the process ended their connection.
     * @param reason - Why it ended the connection.
     * @param count - The number of requests.
     */
    countUnanswered(reason: ConnectionEndReason, count: number): void;
    /**
     * Increments a counter.
     * @param name - The counter.
     * @param amount - The increment; 1 by default.
     */
    addCount(name: CounterName, amount?: number): void;
    /** Gets a counter's value. */
    getCount(name: CounterName): number;
    /** Gets the number of refusals by reason, in lower case. */
    getRefusals(): Readonly<Record<string, number>>;
    /** Gets the number of whole requests without a complete answer by reason; reasons without any are left out. */
    getUnanswered(): Readonly<Record<string, number>>;
    /**
     * Registers a gauge. Where several roles of a process register the same gauge, it shows the maximum value.
     * @param name - The gauge.
     * @param read - Reads the value when metrics are requested.
     */
    addGauge(name: GaugeName, read: () => number): void;
    /**
     * Records a duration in a histogram.
     * @param name - The histogram.
     * @param milliseconds - The duration, in milliseconds; a negative value counts as 0.
     */
    recordMilliseconds(name: HistogramName, milliseconds: number): void;
    /** Gets the percentiles of a histogram's recorded durations. */
    getSummary(name: HistogramName): HistogramSummary;
    /** Gets all metrics in the text format of Prometheus. */
    getText(): Promise<string>;
}
