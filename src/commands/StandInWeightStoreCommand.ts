/*
 * The `stand-in weight-store` command, which runs a stand-in for the weight store.
 */
import { Command, Option } from "clipanion";
import { startWeightStoreStandIn } from "../standIns";
import { runStandIn } from "./runStandIn";

/** Runs a weight store stand-in. */
export class StandInWeightStoreCommand extends Command {
    static override paths = [["stand-in", "weight-store"]];

    static override usage = Command.Usage({
        category: "Stand-ins",
        description: "Run a stand-in for the rate-limited weight store.",
        details: `
            \`GET /weights/{name}\` responds after the simulated fetch time. By default two fetches run at full speed at
            once; more than two share the rate of two.

            Exit codes: 0 stopped, 1 it can't listen, 2 an option is invalid.
        `,
        examples: [["Run a slow store", "basilwing stand-in weight-store --fetch-time 3000"]],
    });

    address = Option.String("--address", { description: "The IP address to listen on; defaults to 127.0.0.1." });
    port = Option.String("--port", { description: "The port; chosen by the operating system by default." });
    fetchTime = Option.String("--fetch-time", {
        description: "How long a fetch takes, in milliseconds; defaults to 800.",
    });
    fullSpeed = Option.String("--full-speed", {
        description: "How many simultaneous fetches run at full speed; defaults to 2.",
    });

    execute(): Promise<number> {
        const textsByOption = { "--port": this.port, "--fetch-time": this.fetchTime, "--full-speed": this.fullSpeed };
        return runStandIn(this.context.stdout, textsByOption, values =>
            startWeightStoreStandIn({
                address: this.address,
                port: values["--port"],
                fetchMilliseconds: values["--fetch-time"],
                fullSpeedFetches: values["--full-speed"],
            }));
    }
}
