/*
 * Breaks rules of the source one at a time, each in a copy, and checks that a test fails then.
 */
import { spawn } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { Mutation } from "./Mutation";

/** What a mutation check consists of. */
interface MutationCheckOptions {
    /** The rules to break. */
    mutations: readonly Mutation[];
    /** The folder that the mutations' files are below. */
    sourceFolder: string;
    /** The folders of tests that are copied. */
    testFolders: readonly string[];
    /** The tests that are run, the fastest first. */
    testFiles: readonly string[];
    /** How many copies are tested at a time. */
    parallelRuns: number;
    /** How long the tests of one copy may take, in milliseconds; a longer run shows nothing, and fails the check. */
    runTimeoutMilliseconds: number;
}

/**
 * Runs a mutation check, prints a line for each rule, and sets the exit code.
 * @param check - The check.
 * @param ruleFilter - A part of the text of the rules to break; all where empty.
 */
export async function runMutationCheck(check: MutationCheckOptions, ruleFilter: string): Promise<void> {
    const { mutations, parallelRuns, runTimeoutMilliseconds, sourceFolder, testFiles, testFolders } = check;
    const pendingMutations = mutations.filter(mutation => mutation.rule.includes(ruleFilter));
    const mutationCount = pendingMutations.length;
    let caughtCount = 0;
    await checkOriginalSource();
    await Promise.all(Array.from({ length: parallelRuns }, testPendingMutations));
    console.log(`mutations: ${caughtCount} of ${mutationCount} caught`);
    process.exitCode = caughtCount === mutationCount ? 0 : 1;

    /** Makes sure that the tests pass while nothing is broken; else every mutation would seem to be caught. */
    async function checkOriginalSource(): Promise<void> {
        const failed = await getFirstFailingTest(createCopy());
        if (failed !== undefined) {
            throw new Error(`A test fails while nothing is broken: ${failed}`);
        }
    }

    /** Takes mutations from the list until none is left. */
    async function testPendingMutations(): Promise<void> {
        for (let mutation = pendingMutations.shift(); mutation; mutation = pendingMutations.shift()) {
            const failed = await getFirstFailingTest(createMutant(mutation));
            if (failed !== undefined) {
                caughtCount++;
            }
            console.log(`${failed === undefined ? "NOT CAUGHT" : "caught"} | ${mutation.rule} | ${failed ?? ""}`);
        }
    }

    /** Copies what the tests need. */
    function createCopy(): string {
        const folder = mkdtempSync(join(tmpdir(), "basilwing-mutant-"));
        ["src", ...testFolders, "package.json", "tsconfig.json"].forEach(name => {
            cpSync(name, join(folder, name), { recursive: true });
        });
        symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
        return folder;
    }

    /** Breaks one rule in a copy. */
    function createMutant(mutation: Mutation): string {
        const folder = createCopy();
        const path = join(folder, sourceFolder, mutation.file);
        const source = readFileSync(path, "utf8");
        if (!source.includes(mutation.originalText)) {
            throw new Error(`${mutation.file} no longer holds the text of the rule "${mutation.rule}"`);
        }
        writeFileSync(path, source.replace(mutation.originalText, mutation.replacement));
        return folder;
    }

    /** Runs the tests on a copy, removes it, and gets the first test that fails; undefined where none does. */
    async function getFirstFailingTest(folder: string): Promise<string | undefined> {
        const { exitCode, output } = await runTests(folder);
        rmSync(folder, { recursive: true });
        if (exitCode === undefined) {
            throw new Error(`A run took longer than ${runTimeoutMilliseconds} ms, which shows nothing`);
        }
        return exitCode === 0 ? undefined : /^\s+1\) (.*)$/m.exec(output)?.[1] ?? `the run ended with ${exitCode}`;
    }

    /** Runs the tests in a folder; there is no exit code where they took too long. */
    function runTests(folder: string): Promise<{ exitCode: number | undefined; output: string; }> {
        const options = ["--no-config", "--require", "tsx/cjs", "--bail", "--timeout", "60000", "--exit"];
        const child = spawn(process.execPath, ["node_modules/mocha/bin/mocha.js", ...options, ...testFiles], {
            cwd: folder,
            stdio: ["ignore", "pipe", "pipe"],
            timeout: runTimeoutMilliseconds,
        });
        let output = "";
        [child.stdout, child.stderr].forEach(stream => {
            stream.on("data", data => {
                output += String(data);
            });
        });
        return new Promise(resolveRun => {
            child.on("close", exitCode => resolveRun({ exitCode: exitCode ?? undefined, output }));
        });
    }
}
