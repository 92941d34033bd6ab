/*
 * Runs all measurement scripts below scripts/measure, one after the other, prints their figures, and stores them in
 * docs/capacity/figures.json. If script names are given as arguments, only those scripts run, and the stored figures of
 * the others are kept. With --quick, scripts that support this option measure less.
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

/** Gets all measurement scripts below a folder, sorted by path. */
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

/** Runs a script in a separate process, and terminates it after a timeout. */
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

/** Stores the figures of a script, replacing those of its previous run. */
function saveFigureSet(set: FigureSet): void {
    const sets = readFigureSets();
    const getPath = (command: string) => command.split(" ").find(argument => argument.endsWith(".ts"));
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
