/*
 * Metrics with libraries: prom-client for counters, gauges and the text format, hdr-histogram-js for durations.
 */
import { build, Histogram } from "hdr-histogram-js";
import { Counter, Gauge, Registry } from "prom-client";
import { RefusalReason } from "../protocol";
import { ConnectionEndReason } from "./ConnectionEndReason";
import { ContentionReason } from "./ContentionReason";
import { CounterName } from "./CounterName";
import { GaugeName } from "./GaugeName";
import { HistogramName } from "./HistogramName";
import { HistogramSummary } from "./HistogramSummary";
import { Metrics } from "./Metrics";
import { RetryReason } from "./RetryReason";
import { TaskName } from "./TaskName";

const microsecondsPerMillisecond = 1_000;
/** One hour; longer durations are recorded as this. */
const maximumRecordedMicroseconds = 3_600_000_000;

/** Creates the metrics of a process, with all counters and histograms registered. */
export function createMetrics(): Metrics {
    const registry = new Registry();
    const refusalCounts = new Map<string, number>();
    const unansweredCounts = new Map<ConnectionEndReason, number>();
    const counts = new Map<CounterName, number>();
    const gaugeReaders = new Map<GaugeName, (() => number)[]>();
    const histograms = new Map<HistogramName, Histogram>();
    const refusals = new Counter({
        name: "basilwing_refusals_total",
        help: "Requests refused, by reason.",
        labelNames: ["reason"],
        registers: [registry],
    });
    const contentionRefusals = new Counter({
        name: "basilwing_contention_refusals_total",
        help: "Requests refused under contention, by reason and by whether their workspace exceeds its share.",
        labelNames: ["reason", "workspace_class"],
        registers: [registry],
    });
    const retries = new Counter({
        name: "basilwing_retries_total",
        help: "Attempts made again, by reason.",
        labelNames: ["reason"],
        registers: [registry],
    });
    const sentRetries = new Counter({
        name: "basilwing_sent_retries_total",
        help: "Attempts sent beyond the first of their request, by service.",
        labelNames: ["service"],
        registers: [registry],
    });
    const refusedRetries = new Counter({
        name: "basilwing_refused_retries_total",
        help: "Requests that were not sent again, as the retry budget was used up, by service.",
        labelNames: ["service"],
        registers: [registry],
    });
    const unanswered = new Counter({
        name: "basilwing_unanswered_requests_total",
        help: "Whole requests whose connection the process ended before their answer was complete, by reason.",
        labelNames: ["reason"],
        registers: [registry],
    });
    Object.values(ConnectionEndReason)
        .filter(reason => reason !== ConnectionEndReason.CallerLeft)
        .forEach(reason => unanswered.inc({ reason }, 0));
    const taskFailures = new Counter({
        name: "basilwing_task_failures_total",
        help: "Background tasks that failed, by task.",
        labelNames: ["task"],
        registers: [registry],
    });
    const counters = createCounters();
    Object.values(HistogramName).forEach(addHistogram);
    return {
        countRefusal,
        countContentionRefusal,
        countRetry,
        countSentRetry: service => sentRetries.inc({ service }),
        countRefusedRetry: service => refusedRetries.inc({ service }),
        countUnanswered,
        countTaskFailure,
        addCount,
        getCount,
        getRefusals,
        getUnanswered: () => Object.fromEntries(unansweredCounts),
        addGauge,
        recordMilliseconds,
        getSummary,
        getText: () => registry.metrics(),
    };

    function countRefusal(reason: RefusalReason): void {
        const name = RefusalReason[reason].toLowerCase();
        refusalCounts.set(name, (refusalCounts.get(name) ?? 0) + 1);
        refusals.inc({ reason: name });
    }

    function countContentionRefusal(reason: ContentionReason, isOverShare: boolean): void {
        contentionRefusals.inc({ reason, workspace_class: isOverShare ? "overShare" : "withinShare" });
    }

    function countRetry(reason: RetryReason): void {
        retries.inc({ reason });
    }

    function countUnanswered(reason: ConnectionEndReason, count: number): void {
        unansweredCounts.set(reason, (unansweredCounts.get(reason) ?? 0) + count);
        unanswered.inc({ reason }, count);
    }

    function countTaskFailure(task: TaskName): void {
        taskFailures.inc({ task });
    }

    function addCount(name: CounterName, amount = 1): void {
        counts.set(name, (counts.get(name) ?? 0) + amount);
        counters.get(name)!.inc(amount);
    }

    function getCount(name: CounterName): number {
        return counts.get(name) ?? 0;
    }

    function getRefusals(): Readonly<Record<string, number>> {
        return Object.fromEntries(refusalCounts);
    }

    function addGauge(name: GaugeName, read: () => number): void {
        const readers = gaugeReaders.get(name);
        if (readers !== undefined) {
            readers.push(read);
            return;
        }
        const newReaders = [read];
        gaugeReaders.set(name, newReaders);
        const gauge: Gauge = new Gauge({
            name,
            help: createHelpText(name),
            registers: [registry],
            collect: () => gauge.set(Math.max(...newReaders.map(readGauge => readGauge()))),
        });
    }

    function recordMilliseconds(name: HistogramName, milliseconds: number): void {
        const microseconds = Math.round(Math.max(0, milliseconds) * microsecondsPerMillisecond);
        histograms.get(name)!.recordValue(Math.min(microseconds, maximumRecordedMicroseconds));
    }

    function getSummary(name: HistogramName): HistogramSummary {
        const histogram = histograms.get(name)!;
        return {
            count: histogram.totalCount,
            p50: histogram.getValueAtPercentile(50) / microsecondsPerMillisecond,
            p95: histogram.getValueAtPercentile(95) / microsecondsPerMillisecond,
            p99: histogram.getValueAtPercentile(99) / microsecondsPerMillisecond,
            maximum: histogram.maxValue / microsecondsPerMillisecond,
        };
    }

    /** Creates and registers the counters without labels. */
    function createCounters(): Map<CounterName, Counter> {
        return new Map(
            Object.values(CounterName).map(name => [
                name,
                new Counter({ name, help: createHelpText(name), registers: [registry] }),
            ]),
        );
    }

    /** Registers a histogram, which is exported as a gauge with a label for each percentile. */
    function addHistogram(name: HistogramName): void {
        histograms.set(
            name,
            build({ highestTrackableValue: maximumRecordedMicroseconds, numberOfSignificantValueDigits: 3 }),
        );
        const gauge = new Gauge({
            name,
            help: createHelpText(name),
            labelNames: ["quantile"],
            registers: [registry],
            collect: () => {
                const summary = getSummary(name);
                gauge.set({ quantile: "0.5" }, summary.p50);
                gauge.set({ quantile: "0.95" }, summary.p95);
                gauge.set({ quantile: "0.99" }, summary.p99);
            },
        });
    }
}

/** Derives a help text from a metric's name. */
function createHelpText(name: string): string {
    return name.replace(/^basilwing_/, "").replace(/_total$/, "").replaceAll("_", " ");
}
