/*
 * The `log inspect` command, which describes the data folder of a control member.
 */
import { Command, Option } from "clipanion";
import { createNodeFileSystem, readLogFolder } from "../control/storage";
import { describeLogFolder } from "./describeLogFolder";
import { ExitCode } from "./ExitCode";
import { isFolder } from "./isFolder";

/** Describes the data folder of a control member without changing it. */
export class LogInspectCommand extends Command {
    static override paths = [["log", "inspect"]];

    static override usage = Command.Usage({
        description: "Show the content of a control member's data folder.",
        details: `
            Reads the folder as a control member does when it starts, verifies every checksum, and prints the member's
            identity, term and vote, snapshot, members, segments and, with --entries, the last entries. Nothing is
            changed, so the command can run while the member does; a segment that is being written may then show a
            torn end. The content of commands is never printed.

            Exit codes: 0 the folder is intact, 1 a file in it is damaged,
            2 the folder can't be read or --entries is invalid.
        `,
        examples: [
            ["Show the content of a folder", "basilwing log inspect /var/lib/basilwing"],
            ["Show the last ten entries as well", "basilwing log inspect /var/lib/basilwing --entries 10"],
        ],
    });

    folder = Option.String();

    entries = Option.String("--entries", "0", { description: "How many of the last entries to show." });

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
