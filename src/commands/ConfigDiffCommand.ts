/*
 * The `config diff` command, which compares the configuration with a file, or two of its revisions.
 */
import { Command, Option } from "clipanion";
import { HistoryQueryResult, SettingDifference } from "../control/configuration";
import { ExitCode } from "./ExitCode";
import { fetchPlan } from "./fetchPlan";
import { formatCallFailure } from "./formatCallFailure";
import { formatDifferences } from "./formatDifferences";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorCallOutcome } from "./OperatorCallOutcome";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

/** Shows what applying a file would change, or the differences between two revisions. */
export class ConfigDiffCommand extends OperatorCommand {
    static override paths = [["config", "diff"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show what a file would change, or the differences between two revisions.",
        details: `
            With a file, shows what \`config apply\` would change. With --from, shows the differences between two
            revisions that the history still holds.

            Exit codes: 0 shown, also without any difference, 2 invalid, 4 no control member answered.
        `,
        examples: [
            ["Show what a file would change", "basilwing config diff configuration.json"],
            ["Show the changes since a revision", "basilwing config diff --from 120"],
            ["Show the differences that would undo them", "basilwing config diff --from 124 --to 120"],
        ],
    });

    file = Option.String({ required: false });

    level = Option.String("--level", "/", { description: "The highest level that the file describes." });

    from = Option.String("--from", { description: "The revision to start from." });

    to = Option.String("--to", { description: "The revision to end at; defaults to the newest." });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        if ((this.file === undefined) === (this.from === undefined)) {
            this.context.stderr.write("give either a file or --from\n");
            return ExitCode.Invalid;
        }
        return this.file === undefined ? this.compareRevisions(client) : this.compareFile(client, this.file);
    }

    private async compareFile(client: OperatorClient, file: string): Promise<number> {
        const planOutcome = await fetchPlan(client, file, this.level);
        return planOutcome.kind === "failed"
            ? this.reportFailure(planOutcome.callOutcome)
            : this.printDifferences(planOutcome.plan.differences);
    }

    private async compareRevisions(client: OperatorClient): Promise<number> {
        const parameters = new URLSearchParams({ from: this.from!, to: this.to ?? "" });
        const outcome = await client.send({ method: "GET", path: `/v1/configuration/difference?${parameters}` });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            return this.reportFailure(outcome);
        }
        const history = outcome.body as HistoryQueryResult;
        switch (history.kind) {
            case "difference":
                return this.printDifferences(history.differences);
            case "notKept":
            case "page":
                this.context.stderr.write(
                    `the history holds revisions ${history.oldestRevision} to ${history.revision}\n`,
                );
                return ExitCode.Invalid;
        }
    }

    private printDifferences(differences: readonly SettingDifference[]): number {
        if (this.isJson) {
            this.printJson(differences);
        }
        else if (differences.length > 0) {
            this.printLine(formatDifferences(differences));
        }
        return ExitCode.Success;
    }

    private reportFailure(outcome: OperatorCallOutcome): number {
        this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
        return getCallExitCode(outcome);
    }
}
