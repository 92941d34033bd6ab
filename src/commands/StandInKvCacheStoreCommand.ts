/*
 * The command that runs a stand-in for the store of kept KV cache.
 */
import { Command, Option } from "clipanion";
import { startKeptCacheStandIn } from "../standIns";
import { runStandIn } from "./runStandIn";

/** Runs a kept-cache store stand-in. */
export class StandInKvCacheStoreCommand extends Command {
    static override paths = [["stand-in", "kept-cache"]];

    static override usage = Command.Usage({
        category: "Stand-ins",
        description: "Run a stand-in for the store of kept KV cache.",
        details: `
            Keeps what is \`PUT\` at \`/entries/{workspace}/{model}/{version}/{hash}\` until there is no room for it.

            Exit codes: 0 when stopped, 1 where it can't listen, 2 where an option is invalid.
        `,
        examples: [["Run a store of 1,000 entries", "basilwing stand-in kept-cache --capacity 1000"]],
    });

    address = Option.String("--address", { description: "The IP address to listen on; 127.0.0.1." });
    port = Option.String("--port", { description: "The port; chosen by the system." });
    capacity = Option.String("--capacity", { description: "How many entries it holds; 4096." });
    accessTime = Option.String("--access-time", { description: "How long a read or write takes, in milliseconds; 5." });

    execute(): Promise<number> {
        const textsByOption = { "--port": this.port, "--capacity": this.capacity, "--access-time": this.accessTime };
        return runStandIn(this.context.stdout, textsByOption, values =>
            startKeptCacheStandIn({
                address: this.address,
                port: values["--port"],
                capacity: values["--capacity"],
                accessMilliseconds: values["--access-time"],
            }));
    }
}
