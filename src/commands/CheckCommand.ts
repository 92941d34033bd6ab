/*
 * The `check` command, which validates settings files and configuration files before a process reads them.
 */
import { Command, Option } from "clipanion";
import { checkFile } from "./checkFile";
import { ExitCode } from "./ExitCode";

/** Validates settings files and configuration files. */
export class CheckCommand extends Command {
    static override paths = [["check"]];

    static override usage = Command.Usage({
        description: "Check settings files and configuration files.",
        details: `
            Checks each file, and the initial configuration file that a settings file names. Prints a line for each
            problem: the path of the value, what was found, what is expected and, for a misspelt key, the closest
            valid key.

            Exit codes: 0 all files are valid, 2 at least one file is invalid.
        `,
        examples: [
            ["Check the settings of one instance", "basilwing check instance.json"],
            ["Check several files", "basilwing check settings/*.json configuration.json"],
        ],
    });

    files = Option.Rest({ required: 1 });

    async execute(): Promise<number> {
        let exitCode = ExitCode.Success;
        for (const file of this.files) {
            const result = await checkFile(file, this.context.env);
            result.problems.forEach(problem => this.context.stdout.write(`${file}: ${problem}\n`));
            if (result.problems.length === 0) {
                this.context.stdout.write(`${file}: valid ${result.contentKind}\n`);
            }
            else {
                exitCode = ExitCode.Invalid;
            }
        }
        return exitCode;
    }
}
