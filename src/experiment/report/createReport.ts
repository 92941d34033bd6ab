/*
 * Creates a report as one self-contained HTML file.
 */
import { ExperimentResult } from "../ExperimentResult";
import { getChartSource } from "./getChartSource";
import { getChartSpecifications } from "./getChartSpecifications";
import { getTableRows } from "./getTableRows";

const style = "body{font-family:sans-serif;max-width:1100px;margin:2em auto}canvas{margin:1em 0}"
    + "table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:.3em .6em;text-align:right}";

const chartScript = `
for (const [index, chart] of specifications.entries()) {
    new Chart(document.getElementById("chart-" + index), {
        type: chart.type,
        data: { labels: chart.labels, datasets: chart.datasets.map(set => ({ ...set, pointRadius: 0 })) },
        options: {
            animation: false,
            plugins: { title: { display: true, text: chart.title } },
            scales: { y: { beginAtZero: true, title: { display: true, text: chart.unit } } },
        },
    });
}`;

/**
 * Creates the HTML report of a result.
 * @param result - The result of the experiment.
 */
export function createReport(result: ExperimentResult): string {
    const specifications = getChartSpecifications(result);
    const [headings, ...rows] = getTableRows(result);
    const canvases = [...specifications.keys()].map(index => `<canvas id="chart-${index}" height="110"></canvas>`);
    const title = `basilwing experiment: ${result.workload}, load ${result.load}, seed ${result.seed}`;
    return [
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\">",
        `<title>${escapeHtml(title)}</title><style>${style}</style></head><body>`,
        `<h1>${escapeHtml(title)}</h1>`,
        `<p>${escapeHtml(getSummary(result))}</p>`,
        `<table><tr>${headings!.map(cell => `<th>${escapeHtml(cell)}</th>`).join("")}</tr>`,
        ...rows.map(row => `<tr>${row.map(cell => `<td>${escapeHtml(cell)}</td>`).join("")}</tr>`),
        "</table>",
        ...canvases,
        `<script>${escapeScript(getChartSource())}</script>`,
        `<script>const specifications = ${escapeScript(JSON.stringify(specifications))};${chartScript}</script>`,
        "</body></html>",
        "",
    ].join("\n");
}

function getSummary(result: ExperimentResult): string {
    const faults = result.faults.length === 0 ? "none" : result.faults.join(", ");
    return `${result.seconds} s after a warm-up of ${result.warmUpSeconds} s, `
        + `${result.completionsPerSecond.toFixed(1)} completions a second, `
        + `prompts of ${Math.round(result.meanPromptTokens)} tokens on average. Faults: ${faults}.`;
}

function escapeHtml(text: string): string {
    return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");
}

/** Escapes closing tags, so that the content of a script element does not end the element. */
function escapeScript(text: string): string {
    return text.replaceAll("</", "<\\/");
}
