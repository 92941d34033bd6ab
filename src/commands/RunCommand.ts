/*
 * The `run` command, which runs one process of the system.
 */
import { Command, Option } from "clipanion";
import { startInstance } from "../instance";
import { formatValueProblem, loadInstanceSettings } from "../settings";
import { ExitCode } from "./ExitCode";
import { waitForStopSignal } from "./waitForStopSignal";

/** Runs a process with the roles in its settings. */
export class RunCommand extends Command {
    static override paths = [["run"]];

    static override usage = Command.Usage({
        description: "Run one process of the system.",
        details: `
            Reads and validates the settings, starts the roles that they name, prints the listener addresses and runs
            until SIGTERM or SIGINT. It then accepts no new requests, finishes those in flight until the drain
            deadline, and exits.

            Exit codes: 0 stopped, 1 the process can't start, 2 the settings are invalid.
        `,
        examples: [["Run the process of a settings file", "basilwing run --settings instance.json"]],
    });

    settings = Option.String("--settings", { required: true, description: "The settings file." });

    async execute(): Promise<number> {
        const loaded = await loadInstanceSettings(this.settings, process.env);
        switch (loaded.kind) {
            case "unreadable":
                this.context.stderr.write(`${this.settings}: ${loaded.reason}\n`);
                return ExitCode.Invalid;
            case "invalid":
                loaded.problems.forEach(problem => {
                    this.context.stderr.write(`${this.settings}: ${formatValueProblem(problem)}\n`);
                });
                return ExitCode.Invalid;
            case "loaded":
                return this.run(loaded.settings);
        }
    }

    /** Runs the process until SIGTERM or SIGINT. */
    private async run(settings: Parameters<typeof startInstance>[0]): Promise<number> {
        const stopSignal = waitForStopSignal();
        const outcome = await startInstance(settings);
        if (outcome.kind === "failed") {
            this.context.stderr.write(`${outcome.reason}\n`);
            return ExitCode.Failure;
        }
        this.context.stdout.write(`${JSON.stringify(outcome.instance.addresses)}\n`);
        await stopSignal;
        await outcome.instance.stop();
        return ExitCode.Success;
    }
}
