/*
 * The `config unset` command, which unsets values of one level or removes the level.
 */
import { Command, Option } from "clipanion";
import { ConfigurationQueryResult } from "../control/configuration";
import { ConfigChangeCommand } from "./ConfigChangeCommand";
import { ExitCode } from "./ExitCode";
import { OperatorClient } from "./OperatorClient";

/** Unsets values of one level, or removes the level. */
export class ConfigUnsetCommand extends ConfigChangeCommand {
    static override paths = [["config", "unset"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Unset values of one level, so that they are inherited again, or remove the level.",
        details: `
            With settings, unsets them. Without settings, removes the level; if it has levels below it, --below is
            required and removes them too.

            Exit codes: 0 accepted (with --wait: in force everywhere), 2 invalid, 3 conflict with another change,
            4 no control member answered, 5 accepted but not yet in force.
        `,
        examples: [
            ["Inherit a limit again", "basilwing config unset /regie limits.requestsPerSecond"],
            ["Remove a subscriber", "basilwing config unset /regie/counter/anne"],
            ["Remove a team with its subscribers", "basilwing config unset /regie/counter --below"],
        ],
    });

    level = Option.String();

    settings = Option.Rest();

    isSubtreeRemoved = Option.Boolean("--below", false, { description: "Remove the levels below it too." });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const problem = this.getOptionProblem();
        if (problem !== undefined) {
            this.context.stderr.write(`${problem}\n`);
            return ExitCode.Invalid;
        }
        const parameters = new URLSearchParams({ level: this.level });
        const outcome = await client.send({ method: "GET", path: `/v1/configuration?${parameters}` });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            return this.reportFailure(outcome);
        }
        const current = outcome.body as ConfigurationQueryResult;
        const expectedRevision = this.revision === undefined ? current.revision : Number(this.revision);
        if (this.settings.length > 0) {
            const operations = this.settings.map(setting => ({ level: this.level, setting }));
            return this.sendChange(client, expectedRevision, operations);
        }
        if (current.children.length > 0 && !this.isSubtreeRemoved) {
            const children = current.children.join(" ");
            this.context.stderr.write(`${this.level} has levels below it, which would be removed too: ${children}\n`);
            this.context.stderr.write("Nothing was changed; --below removes them too.\n");
            return ExitCode.Invalid;
        }
        return this.sendChange(client, expectedRevision, [{ level: this.level, removeLevel: true }]);
    }
}
