/*
 * The `stand-in kept-cache` command, which runs a stand-in for the KV cache store.
 */
import { Command, Option } from "clipanion";
import { startKvCacheStoreStandIn } from "../standIns";
import { runStandIn } from "./runStandIn";

/** Runs a KV cache store stand-in. */
export class StandInKvCacheStoreCommand extends Command {
    static override paths = [["stand-in", "kept-cache"]];

    static override usage = Command.Usage({
        category: "Stand-ins",
        description: "Run a stand-in for the KV cache store.",
        details: `
            Stores the entries that are \`PUT\` at \`/entries/{workspace}/{model}/{version}/{hash}\`, and evicts the
            least recently used ones once its capacity is reached.

            Exit codes: 0 stopped, 1 it can't listen, 2 an option is invalid.
        `,
        examples: [["Run a store of 1,000 entries", "basilwing stand-in kept-cache --capacity 1000"]],
    });

    address = Option.String("--address", { description: "The IP address to listen on; defaults to 127.0.0.1." });
    port = Option.String("--port", { description: "The port; chosen by the operating system by default." });
    capacity = Option.String("--capacity", { description: "How many entries it holds; defaults to 4096." });
    accessTime = Option.String("--access-time", {
        description: "How long a read or write takes, in milliseconds; defaults to 5.",
    });

    execute(): Promise<number> {
        const textsByOption = { "--port": this.port, "--capacity": this.capacity, "--access-time": this.accessTime };
        return runStandIn(this.context.stdout, textsByOption, values =>
            startKvCacheStoreStandIn({
                address: this.address,
                port: values["--port"],
                capacity: values["--capacity"],
                accessMilliseconds: values["--access-time"],
            }));
    }
}
