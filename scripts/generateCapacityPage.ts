/*
 * Writes docs/CAPACITY.md from the measured figures. With --check, writes nothing and fails where the page is not what
 * the figures give.
 */
import { readFileSync, writeFileSync } from "node:fs";
import { formatPage } from "./capacity/formatPage";
import { FigureSet } from "./measure/FigureSet";

const figuresPath = "docs/capacity/figures.json";
const pagePath = "docs/CAPACITY.md";

const figureSets = JSON.parse(readFileSync(figuresPath, "utf8")) as FigureSet[];
const page = formatPage(figureSets);
if (!process.argv.includes("--check")) {
    writeFileSync(pagePath, page);
}
else if (readPage() !== page) {
    console.error(`${pagePath} is not what the figures give; run npm run generate:capacity`);
    process.exitCode = 1;
}

function readPage(): string | undefined {
    try {
        return readFileSync(pagePath, "utf8");
    }
    catch {
        return undefined;
    }
}
