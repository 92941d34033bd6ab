/*
 * The `config history` command, which lists the changes of the configuration with their authors.
 */
import { Command, Option } from "clipanion";
import { HistoryQueryResult, HistoryRecord } from "../control/configuration";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatDifferences } from "./formatDifferences";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

/** Lists the changes of the configuration, newest first. */
export class ConfigHistoryCommand extends OperatorCommand {
    static override paths = [["config", "history"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show who changed which settings and when, newest first.",
        details: "Exit codes: 0 shown, 4 no control member answered.",
        examples: [
            ["Show the latest changes", "basilwing config history"],
            ["Show the changes of a workspace", "basilwing config history --level /regie --limit 50"],
        ],
    });

    level = Option.String("--level", "/", { description: "Only changes at this level or below it." });

    limit = Option.String("--limit", "20", { description: "The maximum number of changes to show." });

    before = Option.String("--before", { description: "Only changes before this revision." });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const { level, limit, before = "" } = this;
        const parameters = new URLSearchParams({ level, limit, before });
        const outcome = await client.send({ method: "GET", path: `/v1/configuration/history?${parameters}` });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        const history = outcome.body as HistoryQueryResult;
        if (this.isJson) {
            this.printJson(history);
        }
        else if (history.kind === "page") {
            history.records.forEach(record => this.printRecord(record));
        }
        return ExitCode.Success;
    }

    private printRecord({ revision, timeMilliseconds, author, changeId, differences }: HistoryRecord): void {
        this.printLine(`revision ${revision}  ${new Date(timeMilliseconds).toISOString()}  ${author}  ${changeId}`);
        this.printLine(formatDifferences(differences).replace(/^/gm, "  "));
    }
}
