/*
 * The `config apply` command, which replaces the configuration, or one subtree of it, with the content of a file.
 */
import { Command, Option } from "clipanion";
import { createInterface } from "node:readline/promises";
import { ConfigChangeCommand } from "./ConfigChangeCommand";
import { ExitCode } from "./ExitCode";
import { fetchPlan } from "./fetchPlan";
import { formatDifferences } from "./formatDifferences";
import { OperatorClient } from "./OperatorClient";

/** Replaces a subtree of the configuration with the content of a file. */
export class ConfigApplyCommand extends ConfigChangeCommand {
    static override paths = [["config", "apply"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Replace the configuration with the content of a file.",
        details: `
            Shows the differences between the file and the configuration, asks for confirmation and applies them as one
            change. Levels that are not in the file are removed. With --level, the file describes that level and the
            levels below it.

            Exit codes: 0 accepted or nothing to change (with --wait: in force everywhere), 1 not confirmed, 2 invalid,
            3 conflict with another change, 4 no control member answered, 5 accepted but not yet in force.
        `,
        examples: [
            ["Apply the whole tree", "basilwing config apply configuration.json"],
            [
                "Apply one workspace without confirmation",
                "basilwing config apply regie.json --level /regie --yes --wait",
            ],
        ],
    });

    file = Option.String();

    level = Option.String("--level", "/", { description: "The highest level that the file describes." });

    isConfirmed = Option.Boolean("--yes", false, { description: "Apply without asking for confirmation." });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const problem = this.getOptionProblem();
        if (problem !== undefined) {
            this.context.stderr.write(`${problem}\n`);
            return ExitCode.Invalid;
        }
        const planOutcome = await fetchPlan(client, this.file, this.level);
        if (planOutcome.kind === "failed") {
            return this.reportFailure(planOutcome.callOutcome);
        }
        const { revision, operations, differences } = planOutcome.plan;
        if (operations.length === 0) {
            this.printLine(`nothing to change at revision ${revision}`);
            return ExitCode.Success;
        }
        if (!this.isJson) {
            this.printLine(formatDifferences(differences));
        }
        if (!this.isConfirmed && !await this.askForConfirmation(differences.length)) {
            this.context.stderr.write("Nothing was changed; --yes applies without asking for confirmation.\n");
            return ExitCode.Failure;
        }
        const expectedRevision = this.revision === undefined ? revision : Number(this.revision);
        return this.sendChange(client, expectedRevision, operations);
    }

    /** Asks the operator to confirm. Without a terminal the answer is no. */
    private async askForConfirmation(differenceCount: number): Promise<boolean> {
        const { stdin, stderr } = this.context;
        if (!(stdin as { isTTY?: boolean; }).isTTY) {
            return false;
        }
        const terminal = createInterface({ input: stdin, output: stderr });
        const reply = await terminal.question(`Apply these ${differenceCount} differences? [y/N] `);
        terminal.close();
        return /^y(es)?$/i.test(reply.trim());
    }
}
