/*
 * The `control recover` command, which makes a stopped control member the only voter of its group.
 */
import { Command, Option } from "clipanion";
import { createNodeFileSystem, openLogStorage, readLogFolder, recoverAsOnlyVoter } from "../control/storage";
import { assertNever } from "../errors";
import { createSilentLogger } from "../logging";
import { createMetrics } from "../metrics";
import { ExitCode } from "./ExitCode";
import { isFolder } from "./isFolder";

/** Makes a stopped control member the only voter of its group, after the other voters' disks are lost for good. */
export class ControlRecoverCommand extends Command {
    static override paths = [["control", "recover"]];

    static override usage = Command.Usage({
        description: "Make a stopped control member the only voter of its group, after a majority is lost for good.",
        details: `
            Appends a member set of this member alone to the log in its data folder. Changes that this member has not
            received are lost, and if another voter's disk is not lost after all, the group may split in two. Stop all
            control members first, choose the folder with the newest log with \`log inspect\`, and read
            docs/operating/lost-majority.md.

            Exit codes: 0 the member is the only voter, 1 the folder is damaged or belongs to no group, or a write
            failed, 2 there is no log or no --confirm-loss, 3 the folder is in use.
        `,
        examples: [[
            "Make the member of a folder the only voter",
            "basilwing control recover --folder /var/lib/basilwing --confirm-loss",
        ]],
    });

    folder = Option.String("--folder", { required: true, description: "The data folder of the stopped member." });

    isLossConfirmed = Option.Boolean("--confirm-loss", false, {
        description: "States that the other voters' disks are lost for good.",
    });

    async execute(): Promise<number> {
        if (!this.isLossConfirmed) {
            return this.finish(ExitCode.Invalid, "nothing is changed without --confirm-loss; see --help");
        }
        if (!await isFolder(this.folder)) {
            return this.finish(ExitCode.Invalid, `${this.folder}: there is no such folder`);
        }
        // A copied lock works on every file system.
        const fileSystem = createNodeFileSystem({ supportsHardLinks: false });
        const content = await readLogFolder(this.folder, fileSystem);
        if (content.kind === "decoded" && content.value.memberId === undefined) {
            return this.finish(ExitCode.Invalid, `${this.folder}: the folder holds no log`);
        }
        const opened = await openLogStorage({
            folder: this.folder,
            fileSystem,
            logger: createSilentLogger(),
            metrics: createMetrics(),
        });
        if (opened.kind !== "opened") {
            return this.finish(opened.kind === "locked" ? ExitCode.Conflict : ExitCode.Failure, opened.reason);
        }
        const { storage } = opened;
        const outcome = await recoverAsOnlyVoter(storage, Date.now());
        await storage.stop();
        switch (outcome.kind) {
            case "recovered":
                return this.finish(
                    ExitCode.Success,
                    `member ${storage.memberId} at ${outcome.address} is the only voter, in place of `
                        + `${outcome.formerVoters}, from entry ${outcome.lastIndex} of term ${outcome.term} on`,
                );
            case "refused":
            case "failed":
                return this.finish(ExitCode.Failure, outcome.reason);
            default:
                return assertNever(outcome);
        }
    }

    private finish(exitCode: ExitCode, line: string): ExitCode {
        this.context.stdout.write(`${line}\n`);
        return exitCode;
    }
}
