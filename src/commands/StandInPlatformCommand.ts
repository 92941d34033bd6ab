/*
 * The `stand-in platform` command, which runs a stand-in for the platform's list of instances.
 */
import { Command, Option } from "clipanion";
import { startPlatformStandIn } from "../standIns";
import { runStandIn } from "./runStandIn";

/** Runs a platform stand-in. */
export class StandInPlatformCommand extends Command {
    static override paths = [["stand-in", "platform"]];

    static override usage = Command.Usage({
        category: "Stand-ins",
        description: "Run a stand-in for the platform's list of instances.",
        details: `
            \`GET /instances\` returns \`{"instances": [{"instanceId", "isLeaving", "address"}]}\` as the list
            was --lag milliseconds ago; \`PUT /instances\` with a body of the same shape replaces the list.

            Exit codes: 0 stopped, 1 it can't listen, 2 an option is invalid.
        `,
        examples: [["Run a list that shows changes after 5 s", "basilwing stand-in platform --lag 5000"]],
    });

    address = Option.String("--address", { description: "The IP address to listen on; defaults to 127.0.0.1." });
    port = Option.String("--port", { description: "The port; chosen by the operating system by default." });
    lag = Option.String("--lag", { description: "The delay until changes appear, in milliseconds; defaults to 2000." });

    execute(): Promise<number> {
        return runStandIn(
            this.context.stdout,
            { "--port": this.port, "--lag": this.lag },
            values =>
                startPlatformStandIn({
                    address: this.address,
                    port: values["--port"],
                    lagMilliseconds: values["--lag"],
                }),
        );
    }
}
