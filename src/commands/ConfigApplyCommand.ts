/*
 * The command that makes the configuration what a file says.
 */
import { Command, Option } from "clipanion";
import { createInterface } from "node:readline/promises";
import { ConfigChangeCommand } from "./ConfigChangeCommand";
import { ExitCode } from "./ExitCode";
import { fetchPlan } from "./fetchPlan";
import { formatDifferences } from "./formatDifferences";
import { OperatorClient } from "./OperatorClient";

/** Makes a subtree what a file says. */
export class ConfigApplyCommand extends ConfigChangeCommand {
    static override paths = [["config", "apply"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Make the configuration what a file says.",
        details: `
            Shows what differs between a file and the configuration, asks, and makes all of it one change. Levels that
            are not in the file are removed. With --level, the file describes that level and those below it.

            Exit codes: 0 accepted or nothing to change (with --wait: in force everywhere), 1 not confirmed, 2 invalid,
            3 another change came first, 4 no control member answered, 5 accepted but not yet in force.
        `,
        examples: [
            ["Apply the whole tree", "basilwing config apply configuration.json"],
            [
                "Apply one workspace, without a question",
                "basilwing config apply regie.json --level /regie --yes --wait",
            ],
        ],
    });

    file = Option.String();

    level = Option.String("--level", "/", { description: "The highest level that the file describes." });

    isConfirmed = Option.Boolean("--yes", false, { description: "Do not ask." });

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
            this.context.stderr.write("Nothing was changed; --yes applies without a question.\n");
            return ExitCode.Failure;
        }
        const expectedRevision = this.revision === undefined ? revision : Number(this.revision);
        return this.sendChange(client, expectedRevision, operations);
    }

    /** Asks the operator, where there is one to ask. */
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
