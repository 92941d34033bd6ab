/*
 * Measures the replicated log: commits with group commit and with one write per commit, recovery with and without
 * snapshots, and the cost of heartbeats and commits. `npx tsx scripts/measure/measureLog.ts --json [--seconds 2]` prints a
 * JSON line for each figure. BASILWING_MEASURE_FOLDER is the folder whose disk is measured.
 */
import { parseArgs } from "node:util";
import { Figure } from "./log/Figure";
import { measureCommits } from "./log/measureCommits";
import { measureRecovery } from "./log/measureRecovery";
import { measureSlopes } from "./log/measureSlopes";

const { values } = parseArgs({
    options: {
        json: { type: "boolean", default: false },
        seconds: { type: "string", default: "2" },
        only: { type: "string", default: "commits,recovery,slopes" },
    },
});
const seconds = Number(values.seconds);
const parts = values.only.split(",");

void measure();

async function measure(): Promise<void> {
    if (parts.includes("commits")) {
        await measureCommits(seconds, print);
    }
    if (parts.includes("recovery")) {
        print(await measureRecovery());
    }
    if (parts.includes("slopes")) {
        print(await measureSlopes(seconds));
    }
}

function print(figures: readonly Figure[]): void {
    for (const { name, value, unit } of figures) {
        const rounded = Number(value.toPrecision(4));
        console.log(values.json ? JSON.stringify({ name, value: rounded, unit }) : `${name}: ${rounded} ${unit}`);
    }
}
