import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { Cli } from "clipanion";
import { appendFile, mkdtemp, readFile, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { LogInspectCommand } from "../../src/commands/LogInspectCommand";
import { openLogStorage } from "../../src/control/storage";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { EntryKind, LogEntrySchema, MemberRole, MemberSetSchema } from "../../src/protocol";

describe("LogInspectCommand", () => {
    let folder: string;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "basilwing-inspect-"));
        const outcome = await openLogStorage({
            folder,
            logger: createSilentLogger(),
            metrics: createMetrics(),
            createMemberId: () => "member1",
        });
        if (outcome.kind !== "opened") {
            throw new Error(outcome.reason);
        }
        const { storage } = outcome;
        await storage.setHardState({ term: 4n, votedFor: "member2" });
        const indexes = [1n, 2n, 3n];
        await storage.addEntries(
            indexes.map(index =>
                create(LogEntrySchema, { index, term: 4n, kind: EntryKind.COMMAND, data: Buffer.from("secret") })
            ),
        );
        const members = create(MemberSetSchema, {
            members: [{ memberId: "member1", address: "127.0.0.1:1", role: MemberRole.VOTER }],
        });
        await storage.setSnapshot({ index: 2n, term: 4n, members, data: Buffer.from("secret") });
        await storage.stop();
    });

    afterEach(() => rm(folder, { recursive: true }));

    async function doTest(
        commandArguments: readonly string[],
        expectedExitCode: number,
        expectedText: RegExp,
    ): Promise<void> {
        const stdout = new PassThrough();
        const cli = Cli.from([LogInspectCommand]);
        const exitCode = await cli.run(["log", "inspect", ...commandArguments], { ...Cli.defaultContext, stdout });
        const text = String(stdout.read());
        expect(text).to.match(expectedText);
        expect(text).not.to.include("secret");
        expect(exitCode).to.equal(expectedExitCode);
    }

    it("shows identity, term, vote, snapshot and members", () =>
        doTest([folder], 0, /identity: member1\nterm: 4, vote: member2\nsnapshot: entry 2 .*\nmember: member1 at 127/));
    it("shows the last entries without their content", () =>
        doTest([folder, "--entries", "1"], 0, /entry 3: term 4, command, .*, 6 bytes\n$/));
    it("shows the torn end of a segment", async () => {
        await appendFile(join(folder, "segment-0000000000000001"), "BWFR");
        await doTest([folder], 0, /torn end of 4 bytes/);
    });
    it("reports a damaged file", async () => {
        const path = join(folder, "state");
        const content = await readFile(path);
        await writeFile(path, content.subarray(0, content.length - 1));
        await doTest([folder], 1, /^damaged: The file state does not have the length/);
    });
    it("refuses a folder that does not exist", () => doTest([join(folder, "x")], 2, /no such folder/));
    it("refuses an entry count that is not a number", () =>
        doTest([folder, "--entries", "x"], 2, /not a whole number/));
});
