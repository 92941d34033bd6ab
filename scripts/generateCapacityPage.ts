/*
 * Generates docs/CAPACITY.md from the measured figures. With --check, writes nothing and exits with status 1 if the page
 * is out of date.
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
    console.error(`${pagePath} is out of date; run npm run generate:capacity`);
    process.exitCode = 1;
}

/** Reads the page; undefined if it can't be read. */
function readPage(): string | undefined {
    try {
        return readFileSync(pagePath, "utf8");
    }
    catch {
        return undefined;
    }
}
