/*
 * The command that runs a stand-in for a plain service.
 */
import { Command, Option } from "clipanion";
import { createRandomSource } from "../runtime";
import { createRunLogClient, startServiceStandIn } from "../standIns";
import { runStandIn } from "./runStandIn";

/** Runs a service stand-in. */
export class StandInServiceCommand extends Command {
    static override paths = [["stand-in", "service"]];

    static override usage = Command.Usage({
        category: "Stand-ins",
        description: "Run a stand-in for a plain service.",
        details: `
            Answers \`POST /release\` and \`POST /publish\` with a JSON body that names a \`key\`, which may not run
            twice, and \`GET /status?key=...\` (with \`&action=publish\` for publishes), which gives how often the key
            has been run. Replicas of one service share the run log of the first: give the others its address.

            Exit codes: 0 when stopped, 1 where it can't listen, 2 where an option is invalid.
        `,
        examples: [
            ["Run the first replica", "basilwing stand-in service --port 9300"],
            ["Run a second replica", "basilwing stand-in service --run-log http://127.0.0.1:9300"],
        ],
    });

    name = Option.String("--name", { description: "The beginning of its incarnations; service." });
    address = Option.String("--address", { description: "The IP address to listen on; 127.0.0.1." });
    port = Option.String("--port", { description: "The port; chosen by the system." });
    runLog = Option.String("--run-log", { description: "The replica that holds the run log, as http://ip:port." });
    seed = Option.String("--seed", { description: "The seed of its randomness; 1." });
    callTime = Option.String("--call-time", { description: "How long a call takes, in milliseconds; 20." });
    resetAfterRun = Option.String("--reset-after-run", { description: "The share of calls cut after they ran; 0." });
    resetBeforeRun = Option.String("--reset-before-run", { description: "The share of calls cut before they run; 0." });

    execute(): Promise<number> {
        const textsByOption = {
            "--port": this.port,
            "--seed": this.seed,
            "--call-time": this.callTime,
            "--reset-after-run": this.resetAfterRun,
            "--reset-before-run": this.resetBeforeRun,
        };
        return runStandIn(this.context.stdout, textsByOption, values =>
            startServiceStandIn({
                name: this.name,
                address: this.address,
                port: values["--port"],
                runLog: this.runLog === undefined ? undefined : createRunLogClient(this.runLog),
                callMilliseconds: values["--call-time"],
                random: createRandomSource(values["--seed"] ?? 1),
                faults: {
                    resetAfterRunShare: values["--reset-after-run"],
                    resetBeforeRunShare: values["--reset-before-run"],
                },
            }));
    }
}
