/*
 * The `stand-in service` command, which runs a stand-in for a plain HTTP service.
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
        description: "Run a stand-in for a plain HTTP service.",
        details: `
            Serves \`POST /release\` and \`POST /publish\`, whose JSON body names a \`key\` that must not run twice, and
            \`GET /status?key=...\` (with \`&action=publish\` for publishes), which returns how often the key has run.
            Replicas of one service share the run log of the first replica: pass its address to the others.

            Exit codes: 0 stopped, 1 it can't listen, 2 an option is invalid.
        `,
        examples: [
            ["Run the first replica", "basilwing stand-in service --port 9300"],
            ["Run a second replica", "basilwing stand-in service --run-log http://127.0.0.1:9300"],
        ],
    });

    name = Option.String("--name", { description: "The prefix of its incarnation ids; defaults to service." });
    address = Option.String("--address", { description: "The IP address to listen on; defaults to 127.0.0.1." });
    port = Option.String("--port", { description: "The port; chosen by the operating system by default." });
    runLog = Option.String("--run-log", {
        description: "The address of the replica with the run log, as http://ip:port.",
    });
    seed = Option.String("--seed", { description: "The seed of its random numbers; defaults to 1." });
    callTime = Option.String("--call-time", { description: "How long a call takes, in milliseconds; defaults to 20." });
    resetAfterRun = Option.String("--reset-after-run", {
        description: "The share of calls whose connection is reset after they ran; defaults to 0.",
    });
    resetBeforeRun = Option.String("--reset-before-run", {
        description: "The share of calls whose connection is reset before they run; defaults to 0.",
    });

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
