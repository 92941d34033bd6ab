/*
 * Runs every measuring script below scripts/measure, one after the other, prints what they find, and keeps it in
 * docs/capacity/figures.json. With names of scripts as arguments, only those are run, and what the others found
 * before is kept. With --quick, scripts that know this option measure less.
 */
import { spawn } from "node:child_process";
import { mkdirSync, readdirSync, readFileSync, writeFileSync } from "node:fs";
import { basename, dirname, join } from "node:path";
import { createInterface } from "node:readline";
import { Figure } from "./Figure";
import { FigureSet } from "./FigureSet";
import { parseFigure } from "./parseFigure";

const figuresPath = "docs/capacity/figures.json";
const scriptsFolder = "scripts/measure";
const maximumRunMilliseconds = 300_000;
const quickOption = "--quick";

void runAll(process.argv.slice(2));

async function runAll(options: readonly string[]): Promise<void> {
    const names = options.filter(option => option !== quickOption);
    const scripts = getScripts(scriptsFolder).filter(path => names.length === 0 || names.includes(getName(path)));
    for (const path of scripts) {
        const set = await runScript(path, options.includes(quickOption));
        console.log(`${set.command}: ${set.outcome}, ${set.figures.length} figures`);
        saveFigureSet(set);
        process.exitCode = set.outcome === "finished" ? process.exitCode : 1;
    }
}

/** Gets every measuring script below a folder, in the order of their paths. */
function getScripts(folder: string): string[] {
    const entries = readdirSync(folder, { withFileTypes: true });
    const paths = entries.flatMap(entry => {
        const path = join(folder, entry.name);
        if (entry.isDirectory()) {
            return getScripts(path);
        }
        return /^measure\w*\.ts$/.test(entry.name) ? [path] : [];
    });
    return paths.sort();
}

function getName(path: string): string {
    return basename(path, ".ts");
}

/** Runs a script in a process of its own, and ends it where it takes too long. */
async function runScript(path: string, isQuick: boolean): Promise<FigureSet> {
    const scriptOptions = isQuick && readFileSync(path, "utf8").includes(quickOption) ? [quickOption] : [];
    const nodeOptions = ["--expose-gc", "--require", "tsx/cjs", path, ...scriptOptions];
    const child = spawn(process.execPath, nodeOptions, { stdio: ["ignore", "pipe", "inherit"] });
    const closed = new Promise<number | undefined>(resolve => child.on("close", code => resolve(code ?? undefined)));
    const figures: Figure[] = [];
    let hasTimedOut = false;
    const timer = setTimeout(() => {
        hasTimedOut = true;
        child.kill();
    }, maximumRunMilliseconds);
    createInterface(child.stdout).on("line", line => {
        console.log(line);
        const figure = parseFigure(line);
        if (figure !== undefined) {
            figures.push(figure);
        }
    });
    const code = await closed;
    clearTimeout(timer);
    return {
        command: ["node", ...nodeOptions].join(" "),
        outcome: hasTimedOut ? "timedOut" : code === 0 ? "finished" : "failed",
        figures,
    };
}

/** Replaces what a script found before. */
function saveFigureSet(set: FigureSet): void {
    const sets = readFigureSets();
    const getPath = (command: string) => command.split(" ").find(word => word.endsWith(".ts"));
    const kept = sets.filter(known => getPath(known.command) !== getPath(set.command));
    const all = [...kept, set].sort((left, right) => left.command < right.command ? -1 : 1);
    mkdirSync(dirname(figuresPath), { recursive: true });
    writeFileSync(figuresPath, JSON.stringify(all, undefined, 4) + "\n");
}

function readFigureSets(): readonly FigureSet[] {
    try {
        return JSON.parse(readFileSync(figuresPath, "utf8")) as FigureSet[];
    }
    catch {
        return [];
    }
}
