/*
 * The command that shows which configuration each instance holds.
 */
import { Command, Option } from "clipanion";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatTable } from "./formatTable";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

/** What the control members tell of an instance, as far as it is shown. */
interface InstanceStatus {
    instanceId: string;
    role: string;
    state: string;
    dataCentre: string;
    revision: number;
}

/** Shows the newest revision, and that of each instance. */
export class ConfigStatusCommand extends OperatorCommand {
    static override paths = [["config", "status"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show the newest revision, and the one that each instance holds.",
        details: "Exit codes: 0 shown, 4 no control member answered.",
        examples: [
            ["Show each instance's revision", "basilwing config status"],
            ["Show only those behind", "basilwing config status --behind"],
        ],
    });

    isBehindOnly = Option.Boolean("--behind", false, {
        description: "Show only instances behind the newest revision.",
    });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const outcome = await client.send({ method: "GET", path: "/v1/configuration/status" });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        const { revision, instances } = outcome.body as { revision: number; instances: readonly InstanceStatus[]; };
        const shown = instances.filter(instance => !this.isBehindOnly || instance.revision < revision);
        if (this.isJson) {
            this.printJson({ revision, instances: shown });
            return ExitCode.Success;
        }
        this.printLine(`the newest revision is ${revision}`);
        this.printLine(formatTable(["instance", "role", "state", "data centre", "revision", "behind"], getRows(shown)));
        return ExitCode.Success;

        function getRows(rows: readonly InstanceStatus[]): readonly (readonly string[])[] {
            return rows.map(row => {
                const behind = String(Math.max(0, revision - row.revision));
                const { instanceId, role, state, dataCentre } = row;
                return [instanceId, role.toLowerCase(), state.toLowerCase(), dataCentre, String(row.revision), behind];
            });
        }
    }
}
