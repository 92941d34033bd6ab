/*
 * Checks that the tests detect each mutation of the replicated log. Each mutation breaks one rule, in its own copy of the
 * source.
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
        "tests/control/storage/powerFailures.tests.ts",
        "tests/control/consensus/lostMembers.tests.ts",
        "tests/control/consensus/createReplicatedLog.tests.ts",
        "tests/control/consensus/runJoinLoop.tests.ts",
        "tests/control/consensus/createReplicatedLog.properties.tests.ts",
    ],
    parallelRuns: 3,
    runTimeoutMilliseconds: 600_000,
};

void runMutationCheck(check, process.argv[2] ?? "");
