import { create } from "@bufbuild/protobuf";
import { expect } from "chai";
import { Cli } from "clipanion";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PassThrough } from "node:stream";
import { openMemberStorage } from "../../platform/roles/openMemberStorage";
import { ControlRecoverCommand } from "../../src/commands/ControlRecoverCommand";
import { LogStorage } from "../../src/control/storage";
import { createSilentLogger } from "../../src/logging";
import { createMetrics } from "../../src/metrics";
import { MemberRole, MemberSetSchema } from "../../src/protocol";
import { createSystemClock } from "../../src/runtime";

describe("ControlRecoverCommand", () => {
    let folder: string;
    let storage: LogStorage;

    beforeEach(async () => {
        folder = await mkdtemp(join(tmpdir(), "basilwing-recover-"));
        storage = await open();
        const { memberId } = storage;
        await storage.setHardState({ term: 4n, votedFor: "b" });
        const role = MemberRole.VOTER;
        const members = create(MemberSetSchema, {
            members: [{ memberId, address: "127.0.0.1:1", role }, { memberId: "b", address: "127.0.0.1:2", role }],
        });
        await storage.setSnapshot({ index: 2n, term: 4n, members, data: Buffer.from("state") });
    });

    afterEach(() => rm(folder, { recursive: true }));

    /** Opens the folder as a member on the platform does. */
    async function open(): Promise<LogStorage> {
        const opened = await openMemberStorage({
            folder,
            clock: createSystemClock(),
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        return opened!.storage;
    }

    async function doTest(commandArguments: readonly string[], expectedExitCode: number, expectedText: RegExp) {
        const stdout = new PassThrough();
        const cli = Cli.from([ControlRecoverCommand]);
        const exitCode = await cli.run(["control", "recover", ...commandArguments], { ...Cli.defaultContext, stdout });
        expect(String(stdout.read())).to.match(expectedText);
        expect(exitCode).to.equal(expectedExitCode);
    }

    it("changes nothing without the confirmation", async () => {
        await storage.stop();
        await doTest(["--folder", folder], 2, /--confirm-loss/);
        expect((await open()).getLastIndex()).to.equal(2n);
    });

    it("refuses a folder that a member uses", () =>
        doTest(["--folder", folder, "--confirm-loss"], 3, new RegExp(`in use by process ${process.pid}`)));

    it("refuses a folder without a log", async () => {
        const emptyFolder = await mkdtemp(join(tmpdir(), "basilwing-recover-"));
        await doTest(["--folder", emptyFolder, "--confirm-loss"], 2, /holds no log/);
        await doTest(["--folder", join(emptyFolder, "absent"), "--confirm-loss"], 2, /no such folder/);
        await rm(emptyFolder, { recursive: true });
    });

    it("makes the member of a folder the only voter", async () => {
        await storage.stop();
        await doTest(["--folder", folder, "--confirm-loss"], 0, /in place of 2, from entry 3 of term 5 on/);
        const reopened = await open();
        expect(reopened.memberId).to.equal(storage.memberId);
        expect(reopened.getHardState()).to.deep.equal({ term: 5n, votedFor: storage.memberId });
        expect(reopened.getLastIndex()).to.equal(3n);
    });
});
