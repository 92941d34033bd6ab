/*
 * Breaks the rules of the replicated log one at a time, each in a copy of the source, and checks that a test fails then.
 *
 * Run: npx tsx scripts/checkLogMutations.ts [part of a rule's text]
 */
import { logMutations } from "./logMutations";
import { runMutationCheck } from "./runMutationCheck";

const check = {
    mutations: logMutations,
    sourceFolder: "src/control",
    testFolders: ["tests/control"],
    testFiles: [
        "tests/control/storage/openLogStorage.tests.ts",
        "tests/control/consensus/createReplicatedLog.tests.ts",
        "tests/control/consensus/createReplicatedLog.properties.tests.ts",
    ],
    parallelRuns: 3,
    runTimeoutMilliseconds: 600_000,
};

void runMutationCheck(check, process.argv[2] ?? "");
