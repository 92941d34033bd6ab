/*
 * The `stand-in engine` command, which runs a stand-in for a model engine.
 */
import { Command, Option } from "clipanion";
import { createRandomSource } from "../runtime";
import { createWeightStoreSource, startEngineStandIn } from "../standIns";
import { runStandIn } from "./runStandIn";

/** Runs an engine stand-in. */
export class StandInEngineCommand extends Command {
    static override paths = [["stand-in", "engine"]];

    static override usage = Command.Usage({
        category: "Stand-ins",
        description: "Run a stand-in for a model engine.",
        details: `
            Responds to OpenAI-compatible completion requests with generated text, and simulates a bounded prefix cache
            and continuous batching. A token is one byte of the rendered prompt. Prints its address and runs until it
            is stopped. A prompt that contains \`<<crash-engine>>\` crashes it, as does \`POST /administration/crash\`.

            Exit codes: 0 stopped, 1 it can't listen, 2 an option is invalid.
        `,
        examples: [
            ["Run an engine on any free port", "basilwing stand-in engine"],
            [
                "Run a small engine that loses cache events",
                "basilwing stand-in engine --cache-pieces 50 --event-loss 0.1",
            ],
            ["Load weights from a store", "basilwing stand-in engine --weight-store http://127.0.0.1:9200"],
        ],
    });

    name = Option.String("--name", { description: "The prefix of its incarnation ids; defaults to engine." });
    address = Option.String("--address", { description: "The IP address to listen on; defaults to 127.0.0.1." });
    port = Option.String("--port", { description: "The port; chosen by the operating system by default." });
    model = Option.String("--model", { description: "The model that it serves; defaults to large." });
    version = Option.String("--model-version", {
        description: "The weights version that it starts with; defaults to 1.",
    });
    weightStore = Option.String("--weight-store", {
        description: "The address of the weight store, as http://ip:port.",
    });
    ignoresFencing = Option.Boolean("--ignore-fencing", false, {
        description: "Accept orders with outdated fencing tokens.",
    });
    seed = Option.String("--seed", { description: "The seed of its random numbers; defaults to 1." });
    cacheBlocks = Option.String("--cache-pieces", {
        description: "The capacity of its prefix cache, in blocks; defaults to 250.",
    });
    blockTokens = Option.String("--piece-tokens", {
        description: "The number of tokens in a block; defaults to 4096.",
    });
    prefillRate = Option.String("--prefill-rate", {
        description: "The prefill rate, in prompt tokens per second; defaults to 20000.",
    });
    decodeStep = Option.String("--decode-step", {
        description: "The time of one decode step, in milliseconds; defaults to 10.",
    });
    eventLag = Option.String("--event-lag", {
        description: "The delay of cache events, in milliseconds; defaults to 50.",
    });
    eventLoss = Option.String("--event-loss", {
        description: "The share of cache events that are lost; defaults to 0.",
    });
    loadLag = Option.String("--load-lag", {
        description: "The age of the load that it reports, in milliseconds; defaults to 100.",
    });
    crossedShare = Option.String("--crossed-share", {
        description: "The share of responses with a wrong id; defaults to 0.",
    });
    truncatedShare = Option.String("--truncated-share", {
        description: "The share of truncated responses; defaults to 0.",
    });
    lateShare = Option.String("--late-share", {
        description: "The share of responses that start late; defaults to 0.",
    });
    lateTime = Option.String("--late-time", { description: "How late they start, in milliseconds; defaults to 0." });

    execute(): Promise<number> {
        const textsByOption = {
            "--port": this.port,
            "--seed": this.seed,
            "--cache-pieces": this.cacheBlocks,
            "--piece-tokens": this.blockTokens,
            "--prefill-rate": this.prefillRate,
            "--decode-step": this.decodeStep,
            "--event-lag": this.eventLag,
            "--event-loss": this.eventLoss,
            "--load-lag": this.loadLag,
            "--crossed-share": this.crossedShare,
            "--truncated-share": this.truncatedShare,
            "--late-share": this.lateShare,
            "--late-time": this.lateTime,
        };
        return runStandIn(this.context.stdout, textsByOption, values =>
            startEngineStandIn({
                name: this.name,
                address: this.address,
                model: this.model,
                version: this.version,
                weightSource: this.weightStore === undefined ? undefined : createWeightStoreSource(this.weightStore),
                isFencing: !this.ignoresFencing,
                random: createRandomSource(values["--seed"] ?? 1),
                port: values["--port"],
                cacheBlocks: values["--cache-pieces"],
                blockTokens: values["--piece-tokens"],
                prefillTokensPerSecond: values["--prefill-rate"],
                decodeStepMilliseconds: values["--decode-step"],
                cacheEventLagMilliseconds: values["--event-lag"],
                cacheEventLossShare: values["--event-loss"],
                loadLagMilliseconds: values["--load-lag"],
                faults: {
                    crossedShare: values["--crossed-share"],
                    truncatedShare: values["--truncated-share"],
                    lateShare: values["--late-share"],
                    lateMilliseconds: values["--late-time"],
                },
            }));
    }
}
