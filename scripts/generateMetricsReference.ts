/*
 * Writes the reference page of metrics from their definitions. With --check, writes nothing and fails where the page is
 * not what they give.
 */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";
import { CounterName, createMetrics, GaugeName, HistogramName, RetryReason } from "../src/metrics";
import { RefusalReason } from "../src/protocol";

const pagePath = "docs/reference/metrics.md";
const helpPattern = /^# HELP (\S+) (.+)$/gm;

/** Reads the page; empty where there is none. */
function readPage(): string {
    try {
        return readFileSync(pagePath, "utf8");
    }
    catch {
        return "";
    }
}

/** Gets the help text of each metric, as a process shows it. */
async function getHelpTexts(): Promise<ReadonlyMap<string, string>> {
    const metrics = createMetrics();
    Object.values(GaugeName).forEach(name => metrics.addGauge(name, () => 0));
    const text = await metrics.getText();
    return new Map([...text.matchAll(helpPattern)].map(match => [match[1]!, match[2]!]));
}

/** Writes a table of metrics. */
function formatMetricTable(names: readonly string[], helpTexts: ReadonlyMap<string, string>): string {
    const rows = [...names].sort().map(name => `| \`${name}\` | ${helpTexts.get(name) ?? ""} |`);
    return ["| Name | What it shows |", "|---|---|", ...rows].join("\n");
}

/** Writes a list of the values of a label. */
function formatLabelValues(values: readonly string[]): string {
    return [...values].sort().map(value => `\`${value}\``).join(", ");
}

/** Writes the page. */
async function createPage(): Promise<string> {
    const helpTexts = await getHelpTexts();
    const refusals = Object.values(RefusalReason).filter(value => typeof value === "string");
    const refusalReasons = refusals.map(value => value.toLowerCase()).filter(value => value !== "unspecified");
    return [
        "# Metrics",
        "Written by `scripts/generateMetricsReference.ts`; shown at `/metrics` of the administration listener.",
        "## Counters",
        formatMetricTable(
            [...Object.values(CounterName), "basilwing_refusals_total", "basilwing_retries_total"],
            helpTexts,
        ),
        `Values of \`reason\` in \`basilwing_refusals_total\`: ${formatLabelValues(refusalReasons)}.`,
        `Values of \`reason\` in \`basilwing_retries_total\`: ${formatLabelValues(Object.values(RetryReason))}.`,
        "## Gauges",
        formatMetricTable(Object.values(GaugeName), helpTexts),
        "## Durations",
        "Each has the label `quantile` with the values 0.5, 0.95 and 0.99.",
        formatMetricTable(Object.values(HistogramName), helpTexts),
        "",
    ].join("\n\n").trimEnd() + "\n";
}

async function run(): Promise<void> {
    const page = await createPage();
    if (!process.argv.includes("--check")) {
        mkdirSync(dirname(pagePath), { recursive: true });
        writeFileSync(pagePath, page);
        return;
    }
    if (readPage() !== page) {
        console.error(`${pagePath} is not what the definitions give; run npx tsx scripts/generateMetricsReference.ts`);
        process.exitCode = 1;
    }
}

void run();
