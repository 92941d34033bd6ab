/*
 * The `config status` command, which shows the configuration revision of each instance.
 */
import { Command, Option } from "clipanion";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatTable } from "./formatTable";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

/** The fields that this command shows of an instance in the control members' response. */
interface InstanceStatus {
    /** The instance's id. */
    instanceId: string;
    /** The process role, in upper case. */
    role: string;
    /** The process state, in upper case. */
    state: string;
    /** The data centre that the instance runs in. */
    dataCentre: string;
    /** The configuration revision that the instance has. */
    revision: number;
}

/** Shows the newest configuration revision and the revision of each instance. */
export class ConfigStatusCommand extends OperatorCommand {
    static override paths = [["config", "status"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show the newest configuration revision and the revision that each instance has.",
        details: "Exit codes: 0 shown, 4 no control member answered.",
        examples: [
            ["Show the revision of each instance", "basilwing config status"],
            ["Show only the instances that are behind", "basilwing config status --behind"],
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
