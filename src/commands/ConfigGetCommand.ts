/*
 * The `config get` command, which shows the effective configuration of a level.
 */
import { Command, Option } from "clipanion";
import { ConfigurationQueryResult, createConfigurationFile, getSettingValue } from "../control/configuration";
import { ExitCode } from "./ExitCode";
import { formatCallFailure } from "./formatCallFailure";
import { formatTable } from "./formatTable";
import { getCallExitCode } from "./getCallExitCode";
import { OperatorClient } from "./OperatorClient";
import { OperatorCommand } from "./OperatorCommand";

/** Shows the effective settings of a level and the level that each value is set at. */
export class ConfigGetCommand extends OperatorCommand {
    static override paths = [["config", "get"]];

    static override usage = Command.Usage({
        category: "Configuration",
        description: "Show the effective settings of a level, and which level each value comes from.",
        details: `
            Shows the values in force at a level, including inherited ones. With a setting, prints only its value. With
            --file, prints the level and all levels below it as a file for \`config apply\`.

            Exit codes: 0 shown, 2 no such level or setting, 4 no control member answered.
        `,
        examples: [
            ["Show a subscriber's settings", "basilwing config get /regie/counter/anne"],
            ["Print one value", "basilwing config get /regie limits.requestsPerSecond"],
            ["Save the whole tree", "basilwing config get / --file > configuration.json"],
        ],
    });

    level = Option.String({ required: false });

    setting = Option.String({ required: false });

    isFileFormat = Option.Boolean("--file", false, {
        description: "Print the level and all levels below it as a configuration file.",
    });

    isStale = Option.Boolean("--stale", false, {
        description: "Let a member respond from its own state, which may be stale, without the leader.",
    });

    protected async runWithClient(client: OperatorClient): Promise<number> {
        const level = this.level ?? "/";
        const parameters = new URLSearchParams({
            level,
            subtree: String(this.isFileFormat),
            stale: String(this.isStale),
        });
        const outcome = await client.send({ method: "GET", path: `/v1/configuration?${parameters}` });
        if (outcome.kind !== "answered" || outcome.status !== 200) {
            this.context.stderr.write(`${formatCallFailure(outcome)}\n`);
            return getCallExitCode(outcome);
        }
        const configuration = outcome.body as ConfigurationQueryResult;
        if (!configuration.exists) {
            this.context.stderr.write(`${level}: there is no such level at revision ${configuration.revision}\n`);
            return ExitCode.Invalid;
        }
        return this.printConfiguration(configuration);
    }

    private printConfiguration(configuration: ConfigurationQueryResult): number {
        if (this.isFileFormat) {
            const levels = new Map(Object.entries(configuration.levels ?? {}));
            this.printJson(createConfigurationFile(levels, configuration.level));
        }
        else if (this.setting !== undefined) {
            return this.printValue(configuration, this.setting);
        }
        else if (this.isJson) {
            this.printJson(configuration);
        }
        else {
            this.printLine(`${configuration.level} at revision ${configuration.revision}`);
            this.printLine(formatTable(["setting", "value", "from"], getRows(configuration)));
        }
        return ExitCode.Success;
    }

    private printValue({ effective, level }: ConfigurationQueryResult, setting: string): number {
        const value = getSettingValue(effective, setting);
        if (value === undefined) {
            this.context.stderr.write(`${level}: ${setting} is not set here or above\n`);
            return ExitCode.Invalid;
        }
        this.printJson(value);
        return ExitCode.Success;
    }
}

function getRows({ effective, origins }: ConfigurationQueryResult): readonly (readonly string[])[] {
    return Object.keys(origins).sort().map(setting => {
        return [setting, JSON.stringify(getSettingValue(effective, setting)), origins[setting]!];
    });
}
