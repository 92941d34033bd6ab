/*
 * Gets the source of the chart library, which is embedded in reports so that they need no other file.
 */
import { readFileSync } from "node:fs";
import { createRequire } from "node:module";
import { dirname, join } from "node:path";

declare const BASILWING_CHART_SOURCE: string | undefined;

/** Gets the source of the chart library: that embedded in the built program, or else that of the installed package. */
export function getChartSource(): string {
    if (typeof BASILWING_CHART_SOURCE === "string") {
        return BASILWING_CHART_SOURCE;
    }
    const require = createRequire(join(process.cwd(), "package.json"));
    return readFileSync(join(dirname(require.resolve("chart.js")), "chart.umd.min.js"), "utf8");
}
