/*
 * The command that runs a stand-in for a model engine.
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
            Answers completions in the OpenAI-compatible shape with made-up text, over a bounded prefix cache and a
            continuous batch. A token is one byte of the rendered prompt. Prints its address and runs until it is
            stopped. A prompt that contains \`<<crash-engine>>\` crashes it, as does \`POST /administration/crash\`.

            Exit codes: 0 when stopped, 1 where it can't listen, 2 where an option is invalid.
        `,
        examples: [
            ["Run an engine on a port of the system's choice", "basilwing stand-in engine"],
            [
                "Run a small engine that loses cache events",
                "basilwing stand-in engine --cache-pieces 50 --event-loss 0.1",
            ],
            ["Load weights from a store", "basilwing stand-in engine --weight-store http://127.0.0.1:9200"],
        ],
    });

    name = Option.String("--name", { description: "The beginning of its incarnations; engine." });
    address = Option.String("--address", { description: "The IP address to listen on; 127.0.0.1." });
    port = Option.String("--port", { description: "The port; chosen by the system." });
    model = Option.String("--model", { description: "The model served; large." });
    version = Option.String("--model-version", { description: "The weights version that it starts with; 1." });
    weightStore = Option.String("--weight-store", { description: "The weight store, as http://ip:port." });
    ignoresFencing = Option.Boolean("--ignore-fencing", false, { description: "Take orders with old numbers too." });
    seed = Option.String("--seed", { description: "The seed of its randomness; 1." });
    cacheBlocks = Option.String("--cache-pieces", { description: "How many pieces its cache holds; 250." });
    blockTokens = Option.String("--piece-tokens", { description: "How many tokens a piece has; 4096." });
    prefillRate = Option.String("--prefill-rate", { description: "Prompt tokens prefilled a second; 20000." });
    decodeStep = Option.String("--decode-step", { description: "Milliseconds for one decode step; 10." });
    eventLag = Option.String("--event-lag", { description: "How late cache events are, in milliseconds; 50." });
    eventLoss = Option.String("--event-loss", { description: "The share of cache events lost; 0." });
    loadLag = Option.String("--load-lag", { description: "How old reported loads are, in milliseconds; 100." });
    crossedShare = Option.String("--crossed-share", { description: "The share of answers with a wrong id; 0." });
    truncatedShare = Option.String("--truncated-share", { description: "The share of answers cut short; 0." });
    lateShare = Option.String("--late-share", { description: "The share of answers that start late; 0." });
    lateTime = Option.String("--late-time", { description: "How late they start, in milliseconds; 0." });

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
                cachePieces: values["--cache-pieces"],
                pieceTokens: values["--piece-tokens"],
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
