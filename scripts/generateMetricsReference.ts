/*
 * Generates the reference page of metrics from their definitions. With --check, writes nothing and exits with status 1 if
 * the page is out of date.
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import {
    ConnectionEndReason,
    ContentionReason,
    CounterName,
    createMetrics,
    GaugeName,
    HistogramName,
    RetryReason,
    TaskName,
} from "../src/metrics";
import { RefusalReason } from "../src/protocol";

const pagePath = "docs/reference/metrics.md";
const helpPattern = /^# HELP (\S+) (.+)$/gm;

/** Reads the page; an empty string if it can't be read. */
function readPage(): string {
    try {
        return readFileSync(pagePath, "utf8");
    }
    catch {
        return "";
    }
}

/** Gets the help text of each metric by name, from the text that a process exposes. */
async function getHelpTexts(): Promise<ReadonlyMap<string, string>> {
    const metrics = createMetrics();
    Object.values(GaugeName).forEach(name => metrics.addGauge(name, () => 0));
    const text = await metrics.getText();
    return new Map([...text.matchAll(helpPattern)].map(match => [match[1]!, match[2]!]));
}

/** Formats a table of metrics, sorted by name. */
function formatMetricTable(names: readonly string[], helpTexts: ReadonlyMap<string, string>): string {
    const rows = [...names].sort().map(name => `| \`${name}\` | ${helpTexts.get(name) ?? ""} |`);
    return ["| Name | What it shows |", "|---|---|", ...rows].join("\n");
}

/** Formats the sorted list of a label's values. */
function formatLabelValues(values: readonly string[]): string {
    return [...values].sort().map(value => `\`${value}\``).join(", ");
}

/** Creates the text of the page. */
async function createPage(): Promise<string> {
    const helpTexts = await getHelpTexts();
    const refusals = Object.values(RefusalReason).filter(value => typeof value === "string");
    const refusalReasons = refusals.map(value => value.toLowerCase()).filter(value => value !== "unspecified");
    return [
        "# Metrics",
        "Written by `scripts/generateMetricsReference.ts`; shown at `/metrics` of the administration listener.",
        "## Counters",
        formatMetricTable(
            [
                ...Object.values(CounterName),
                "basilwing_refusals_total",
                "basilwing_contention_refusals_total",
                "basilwing_retries_total",
                "basilwing_refused_retries_total",
                "basilwing_sent_retries_total",
                "basilwing_unanswered_requests_total",
                "basilwing_task_failures_total",
            ],
            helpTexts,
        ),
        `Values of \`reason\` in \`basilwing_refusals_total\`: ${formatLabelValues(refusalReasons)}.`,
        `Values of \`reason\` in \`basilwing_contention_refusals_total\`: ${
            formatLabelValues(Object.values(ContentionReason))
        }; of \`workspace_class\`: \`overShare\`, \`withinShare\`.`,
        `Values of \`reason\` in \`basilwing_retries_total\`: ${formatLabelValues(Object.values(RetryReason))}.`,
        `Values of \`reason\` in \`basilwing_unanswered_requests_total\`: ${
            formatLabelValues(
                Object.values(ConnectionEndReason).filter(reason => reason !== ConnectionEndReason.CallerLeft),
            )
        }.`,
        `Values of \`task\` in \`basilwing_task_failures_total\`: ${formatLabelValues(Object.values(TaskName))}.`,
        "## Gauges",
        formatMetricTable(Object.values(GaugeName), helpTexts),
        "## Durations",
        "Each has the label `quantile` with the values 0.5, 0.95 and 0.99.",
        formatMetricTable(Object.values(HistogramName), helpTexts),
        "",
    ].join("\n\n").trimEnd() + "\n";
}

/** Writes the page, or checks that it is up to date. */
async function run(): Promise<void> {
    const page = await createPage();
    if (!process.argv.includes("--check")) {
        mkdirSync(dirname(pagePath), { recursive: true });
        writeFileSync(pagePath, page);
        return;
    }
    if (readPage() !== page) {
        console.error(`${pagePath} is out of date; run npx tsx scripts/generateMetricsReference.ts`);
        process.exitCode = 1;
    }
}

void run();
