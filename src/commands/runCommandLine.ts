/*
 * Registers all commands and runs the one that the arguments name.
 */
import { BaseContext, Builtins, Cli } from "clipanion";
import { CheckCommand } from "./CheckCommand";
import { ClaimsListCommand } from "./ClaimsListCommand";
import { ClaimsResolveCommand } from "./ClaimsResolveCommand";
import { ConfigApplyCommand } from "./ConfigApplyCommand";
import { ConfigDiffCommand } from "./ConfigDiffCommand";
import { ConfigGetCommand } from "./ConfigGetCommand";
import { ConfigHistoryCommand } from "./ConfigHistoryCommand";
import { ConfigSetCommand } from "./ConfigSetCommand";
import { ConfigStatusCommand } from "./ConfigStatusCommand";
import { ConfigUnsetCommand } from "./ConfigUnsetCommand";
import { ControlRecoverCommand } from "./ControlRecoverCommand";
import { DemoCommand } from "./DemoCommand";
import { EventsCommand } from "./EventsCommand";
import { ExperimentCommand } from "./ExperimentCommand";
import { ExplainCommand } from "./ExplainCommand";
import { getVersion } from "./getVersion";
import { LogInspectCommand } from "./LogInspectCommand";
import { QuarantineListCommand } from "./QuarantineListCommand";
import { QuarantineReleaseCommand } from "./QuarantineReleaseCommand";
import { RolloutPauseCommand } from "./RolloutPauseCommand";
import { RolloutResumeCommand } from "./RolloutResumeCommand";
import { RolloutStatusCommand } from "./RolloutStatusCommand";
import { RunCommand } from "./RunCommand";
import { SettingsSchemaCommand } from "./SettingsSchemaCommand";
import { StandInEngineCommand } from "./StandInEngineCommand";
import { StandInKvCacheStoreCommand } from "./StandInKvCacheStoreCommand";
import { StandInPlatformCommand } from "./StandInPlatformCommand";
import { StandInServiceCommand } from "./StandInServiceCommand";
import { StandInWeightStoreCommand } from "./StandInWeightStoreCommand";
import { StatusCommand } from "./StatusCommand";

/**
 * Runs the command of a command line.
 * @param commandArguments - The arguments, without the paths of Node.js and the script.
 * @param context - The streams and environment variables; those of the process are the defaults.
 * @returns The exit code.
 */
export function runCommandLine(
    commandArguments: readonly string[],
    context: Partial<BaseContext> = {},
): Promise<number> {
    const cli = new Cli({ binaryLabel: "basilwing", binaryName: "basilwing", binaryVersion: getVersion() });
    cli.register(Builtins.HelpCommand);
    cli.register(Builtins.VersionCommand);
    cli.register(CheckCommand);
    cli.register(DemoCommand);
    cli.register(ExperimentCommand);
    cli.register(ExplainCommand);
    cli.register(ControlRecoverCommand);
    cli.register(LogInspectCommand);
    cli.register(RunCommand);
    cli.register(StatusCommand);
    cli.register(SettingsSchemaCommand);
    cli.register(StandInEngineCommand);
    cli.register(StandInKvCacheStoreCommand);
    cli.register(StandInPlatformCommand);
    cli.register(StandInServiceCommand);
    cli.register(StandInWeightStoreCommand);
    cli.register(ConfigApplyCommand);
    cli.register(ConfigDiffCommand);
    cli.register(ConfigGetCommand);
    cli.register(ConfigHistoryCommand);
    cli.register(ConfigSetCommand);
    cli.register(ConfigStatusCommand);
    cli.register(ConfigUnsetCommand);
    cli.register(EventsCommand);
    cli.register(ClaimsListCommand);
    cli.register(ClaimsResolveCommand);
    cli.register(QuarantineListCommand);
    cli.register(QuarantineReleaseCommand);
    cli.register(RolloutPauseCommand);
    cli.register(RolloutResumeCommand);
    cli.register(RolloutStatusCommand);
    return cli.run([...commandArguments], { ...Cli.defaultContext, ...context });
}
