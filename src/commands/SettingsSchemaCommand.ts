/*
 * The `settings schema` command, which prints JSON schemas.
 */
import { Command, Option } from "clipanion";
import { getConfigurationFileSchema, LevelKind } from "../control/configuration";
import { instanceSettingsSchema } from "../settings";
import { ExitCode } from "./ExitCode";

const jsonIndentation = 2;

/** Prints the JSON schema of instance settings or of configuration files. */
export class SettingsSchemaCommand extends Command {
    static override paths = [["settings", "schema"]];

    static override usage = Command.Usage({
        description: "Print the JSON schema of an instance's settings.",
        details: "Prints a JSON schema (draft 7), for editors and for validation before a file is installed.",
        examples: [
            ["Print the schema of an instance's settings", "basilwing settings schema"],
            ["Print the schema of configuration files", "basilwing settings schema --configuration"],
        ],
    });

    isConfiguration = Option.Boolean("--configuration", false, {
        description: "Print the schema of configuration files instead.",
    });

    async execute(): Promise<number> {
        const schema = this.isConfiguration ? getConfigurationFileSchema(LevelKind.Root) : instanceSettingsSchema;
        this.context.stdout.write(`${JSON.stringify(schema, undefined, jsonIndentation)}\n`);
        return ExitCode.Success;
    }
}
