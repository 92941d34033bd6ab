/*
 * The `quarantine list` command, which lists the crash records of requests.
 */
import { Command } from "clipanion";
import { QuarantineJson } from "../control/claims";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatTable } from "./formatTable";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

/** Lists the requests that were in flight when an engine crashed. */
export class QuarantineListCommand extends OperatorCommand {
    static override paths = [["quarantine", "list"]];

    static override usage = Command.Usage({
        category: "Quarantine",
        description: "List the requests that were in flight when an engine crashed, and those in quarantine.",
        details: "Exit codes: 0 listed, 4 no control member answered.",
        examples: [["List the requests", "basilwing quarantine list"]],
    });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const outcome = await client.send({ method: "GET", path: "/v1/quarantine" });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        const records = outcome.body as readonly QuarantineJson[];
        if (this.isJson) {
            this.printJson(records);
        }
        else {
            this.printLine(formatTable(["fingerprint", "crashes", "state", "until"], records.map(getRow)));
        }
        return ExitCode.Success;
    }
}

/** Gets the table cells of a record. */
function getRow(record: QuarantineJson): readonly string[] {
    const state = record.isSuspect ? "suspect" : "bystander";
    const until = record.isQuarantined ? new Date(record.expiresMilliseconds).toISOString() : "";
    return [record.fingerprint, String(record.crashes), record.isQuarantined ? "quarantined" : state, until];
}
