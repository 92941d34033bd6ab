/*
 * The command that shows what a control member's folder holds.
 */
import { Command, Option } from "clipanion";
import { stat } from "node:fs/promises";
import { createNodeFileSystem, readLogFolder } from "../control/storage";
import { hasErrorCode } from "../errors";
import { describeLogFolder } from "./describeLogFolder";
import { ExitCode } from "./ExitCode";

/** Shows what a control member's folder holds, without changing it. */
export class LogInspectCommand extends Command {
    static override paths = [["log", "inspect"]];

    static override usage = Command.Usage({
        description: "Show what a control member's folder holds.",
        details: `
            Reads the folder as a control member does when it starts, checks every checksum, and prints the member's
            identity, term and vote, snapshot, members, segments and, when asked for, the last entries. Nothing is
            changed, so that it may run beside the member; a segment that is being written may then show a torn end.
            The content of commands is never printed.

            Exit codes: 0 where the folder is whole, 1 where something in it is damaged, 2 where it can't be read.
        `,
        examples: [
            ["Show what a folder holds", "basilwing log inspect /var/lib/basilwing"],
            ["Show the last ten entries too", "basilwing log inspect /var/lib/basilwing --entries 10"],
        ],
    });

    folder = Option.String();

    entries = Option.String("--entries", "0", { description: "How many of the last entries are shown." });

    async execute(): Promise<number> {
        const { stdout } = this.context;
        if (!await isFolder(this.folder)) {
            stdout.write(`${this.folder}: there is no such folder\n`);
            return ExitCode.Invalid;
        }
        const entryCount = Number(this.entries);
        if (!Number.isInteger(entryCount) || entryCount < 0) {
            stdout.write(`--entries: "${this.entries}" is not a whole number\n`);
            return ExitCode.Invalid;
        }
        const outcome = await readLogFolder(this.folder, createNodeFileSystem());
        if (outcome.kind === "corrupt") {
            stdout.write(`damaged: ${outcome.reason}\n`);
            return ExitCode.Failure;
        }
        describeLogFolder(outcome.value, entryCount).forEach(line => stdout.write(`${line}\n`));
        return ExitCode.Success;
    }
}

/** Tells whether a path names a folder. */
async function isFolder(path: string): Promise<boolean> {
    try {
        return (await stat(path)).isDirectory();
    }
    catch (thrown) {
        if (hasErrorCode(thrown, "ENOENT", "ENOTDIR", "EACCES")) {
            return false;
        }
        throw thrown;
    }
}
