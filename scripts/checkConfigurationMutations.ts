/*
 * Checks that the tests detect each mutation of the configuration tree and its commands. Each mutation breaks one rule,
 * in its own copy of the source.
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
