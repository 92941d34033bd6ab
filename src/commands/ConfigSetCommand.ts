/*
 * The `config set` command, which sets values of one level.
 */
import { Command, Option } from "clipanion";
import { ConfigChangeCommand } from "./ConfigChangeCommand";
import { ExitCode } from "./ExitCode";
import { OperatorClient } from "./OperatorClient";
import { parseSettingValue } from "./parseSettingValue";

/** Sets one or more values of one level, in one change. */
export class ConfigSetCommand extends ConfigChangeCommand {
    static override paths = [["config", "set"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Set values of one level of the configuration.",
        details: `
            Sets one or more values in one change. A value is parsed as JSON; text that is not JSON is taken as a
            string. A level that does not exist is added. Put a name that contains a dot in quotes:
            'models."small-1.5".allowed'.

            Exit codes: 0 accepted (with --wait: in force everywhere), 2 invalid, 3 conflict with another change,
            4 no control member answered, 5 accepted but not yet in force.
        `,
        examples: [
            ["Limit a workspace", "basilwing config set /regie limits.requestsPerSecond 20 --wait"],
            ["Set two values at once", "basilwing config set /regie/counter priority interactive shareWeight 2"],
            ["Allow one version of a model", `basilwing config set / models.large '{"allowed":true,"versions":["7"]}'`],
        ],
    });

    level = Option.String();

    settingsAndValues = Option.Rest({ required: 2 });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const problem = this.settingsAndValues.length % 2 === 1
            ? "each setting needs a value"
            : this.getOptionProblem();
        if (problem !== undefined) {
            this.context.stderr.write(`${problem}\n`);
            return ExitCode.Invalid;
        }
        const expectedRevision = await this.getExpectedRevision(client);
        if (typeof expectedRevision !== "number") {
            return this.reportFailure(expectedRevision);
        }
        const operations = this.settingsAndValues.flatMap((setting, index, texts) => {
            const isSetting = index % 2 === 0;
            return isSetting ? [{ level: this.level, setting, value: parseSettingValue(texts[index + 1]!) }] : [];
        });
        return this.sendChange(client, expectedRevision, operations);
    }
}
