/*
 * Breaks the rules of the configuration tree and its commands one at a time, each in a copy of the source, and checks
 * that a test fails then.
 *
 * Run: npx tsx scripts/checkConfigurationMutations.ts [part of a rule's text]
 */
import { configurationMutations } from "./configurationMutations";
import { runMutationCheck } from "./runMutationCheck";

const check = {
    mutations: configurationMutations,
    sourceFolder: "src",
    testFolders: ["tests"],
    testFiles: [
        "tests/control/createControlState.tests.ts",
        "tests/control/configuration/*.tests.ts",
        "tests/control/operators/*.tests.ts",
        "tests/commands/C*.tests.ts",
        "tests/commands/c*.tests.ts",
        "tests/settings/*.tests.ts",
    ],
    parallelRuns: 2,
    runTimeoutMilliseconds: 150_000,
};

void runMutationCheck(check, process.argv[2] ?? "");
