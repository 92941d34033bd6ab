/*
 * Runs mutation checks: applies each mutation to its own copy of the source, and checks that a test fails on that copy.
 */
import { spawn } from "node:child_process";
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, resolve } from "node:path";
import { Mutation } from "./Mutation";

/** The mutations of a check, and the tests that are expected to detect them. */
interface MutationCheckOptions {
    /** The mutations to apply. */
    mutations: readonly Mutation[];
    /** The folder that the paths of the mutated files are relative to. */
    sourceFolder: string;
    /** The folders with tests and their helpers, which are copied beside the source. */
    testFolders: readonly string[];
    /** The patterns of the test files that run, the fastest first, since a run ends at the first failure. */
    testFiles: readonly string[];
    /** The number of copies that are tested concurrently. */
    parallelRuns: number;
    /** The time limit for the tests of one copy. A run that exceeds it is inconclusive, and fails the whole check. */
    runTimeoutMilliseconds: number;
}

/**
 * Runs a mutation check, prints a line for each mutation, and sets the exit code: 0 if all mutations are detected.
 * @param check - The mutations and the tests.
 * @param ruleFilter - A part of the rules' texts, which selects the mutations; an empty string selects all.
 * @throws {Error} If a test fails on the original source, a run exceeds the time limit, or a mutated file does not contain
 * the text to replace.
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

    /** Verifies that the tests pass on the original source; otherwise every mutation would count as caught. */
    async function checkOriginalSource(): Promise<void> {
        const failed = await getFirstFailingTest(createCopy());
        if (failed !== undefined) {
            throw new Error(`A test fails on the original source: ${failed}`);
        }
    }

    /** Tests pending mutations one after another until none is left; several calls run concurrently. */
    async function testPendingMutations(): Promise<void> {
        for (let mutation = pendingMutations.shift(); mutation; mutation = pendingMutations.shift()) {
            const failed = await getFirstFailingTest(createMutant(mutation));
            if (failed !== undefined) {
                caughtCount++;
            }
            console.log(`${failed === undefined ? "NOT CAUGHT" : "caught"} | ${mutation.rule} | ${failed ?? ""}`);
        }
    }

    /** Copies the files that the tests need to a temporary folder, and returns its path. */
    function createCopy(): string {
        const folder = mkdtempSync(join(tmpdir(), "basilwing-mutant-"));
        ["src", ...testFolders, "package.json", "tsconfig.json"].forEach(name => {
            cpSync(name, join(folder, name), { recursive: true });
        });
        symlinkSync(resolve("node_modules"), join(folder, "node_modules"));
        return folder;
    }

    /** Creates a copy with one mutation applied, and returns its path. */
    function createMutant(mutation: Mutation): string {
        const folder = createCopy();
        const path = join(folder, sourceFolder, mutation.file);
        const source = readFileSync(path, "utf8");
        if (!source.includes(mutation.originalText)) {
            throw new Error(
                `${mutation.file} no longer contains the text that is replaced for the rule "${mutation.rule}"`,
            );
        }
        writeFileSync(path, source.replace(mutation.originalText, mutation.replacement));
        return folder;
    }

    /** Runs the tests on a copy, removes the copy, and returns the first test that fails, or undefined if none fails. */
    async function getFirstFailingTest(folder: string): Promise<string | undefined> {
        const { exitCode, output } = await runTests(folder);
        rmSync(folder, { recursive: true });
        if (exitCode === undefined) {
            throw new Error(`A run took longer than ${runTimeoutMilliseconds} ms and is inconclusive`);
        }
        return exitCode === 0 ? undefined : /^\s+1\) (.*)$/m.exec(output)?.[1] ?? `the run ended with ${exitCode}`;
    }

    /** Runs the tests in a folder. The exit code is undefined if the run exceeds the time limit. */
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
